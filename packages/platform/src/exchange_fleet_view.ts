import {
  type Link,
  type MessageHandlers,
  MessageKind,
} from "@rosemarytiller/link";
import type { FleetView } from "./create_fleet_view.ts";

/** Handlers by which two processes bring each other up to date. */
export function exchangeFleetView(view: FleetView): MessageHandlers<Link> {
  return {
    [MessageKind.Digest](digest, link) {
      if (digest.listRevision === view.listRevision()) view.confirmVms();
      const fetch = view.missing(digest);
      if (fetch) link.send(fetch);
    },
    [MessageKind.Fetch](fetch, link) {
      const documents = [];
      for (const key of fetch.keys) {
        const found = view.documents().get(key);
        if (!found) continue;
        const { revision, text } = found;
        documents.push({ key, revision, text });
      }
      if (documents.length > 0) {
        link.send({ kind: MessageKind.Documents, documents });
      }
      if (!fetch.list) return;
      const vms = [...view.vms()];
      const revision = view.listRevision();
      link.send({ kind: MessageKind.VmList, revision, vms });
    },
    [MessageKind.Documents](message, link) {
      for (const published of message.documents) {
        view.offerDocument(published, link.vm);
      }
    },
    [MessageKind.VmList](message) {
      view.offerVms(message);
    },
  };
}
