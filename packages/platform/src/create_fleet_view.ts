import { parseDocument, type ServiceDocument } from "@rosemarytiller/document";
import type {
  DigestMessage,
  FetchMessage,
  PublishedDocument,
  PublishedVm,
} from "@rosemarytiller/link";
import { MessageKind } from "@rosemarytiller/link";
import {
  type Clock,
  createSubject,
  hashText,
  LogPart,
  warn,
} from "@rosemarytiller/shared";
import type { Stream } from "most";

/** A document in force. */
export interface AcceptedDocument {
  key: string;
  revision: number;
  digest: string;
  text: string;
  document: ServiceDocument;
}

/** Kinds of change of a fleet view. */
export enum FleetChangeKind {
  Document = "document",
  DocumentRefused = "document-refused",
  VmList = "vm-list",
}

/** A change of what a process knows of the fleet. */
export interface FleetChange {
  kind: FleetChangeKind;
  key: string;
  revision: number;
  detail: string;
}

/** What a process knows of documents and VMs, and how it learns of more. */
export interface FleetView {
  /** Documents in force, by key. */
  documents(): ReadonlyMap<string, AcceptedDocument>;
  /** Document of a service. */
  documentOf(service: string): ServiceDocument | undefined;
  /** VM list in force. */
  vms(): readonly PublishedVm[];
  /** Revision of the VM list; 0 before the first. */
  listRevision(): number;
  /** Highest revision of a document in force; 0 before the first. */
  revision(): number;
  /** Revision in force by document key. */
  revisions(): Record<string, number>;
  /** Takes a document if it is newer and valid; tells whether it did. */
  offerDocument(published: PublishedDocument, source: string): boolean;
  /** Takes a VM list if it is newer; tells whether it did. */
  offerVms(list: { revision: number; vms: readonly PublishedVm[] }): boolean;
  /** Notes that a source confirmed the VM list in force just now. */
  confirmVms(): void;
  /** Monotonic time of the last confirmation of the VM list. */
  vmsConfirmedAtMs(): number;
  /** Digest of what is in force, for peers. */
  digest(): DigestMessage;
  /** What to fetch from a peer with the given digest, if anything. */
  missing(digest: DigestMessage): FetchMessage | undefined;
  /** Changes as they come in force. */
  readonly changes: Stream<FleetChange>;
  /** Resolves when a document and a VM list are in force. */
  readonly ready: Promise<void>;
  isReady(): boolean;
}

/** Creates an empty fleet view. */
export function createFleetView(options: { clock: Clock }): FleetView {
  const { clock } = options;
  const accepted = new Map<string, AcceptedDocument>();
  const refused = new Map<string, number>();
  const changes = createSubject<FleetChange>();
  let vms: readonly PublishedVm[] = [];
  let listRevision = 0;
  let confirmedAtMs = -Infinity;
  let resolveReady = () => {};
  const ready = new Promise<void>((resolve) => resolveReady = resolve);

  const isReady = () => accepted.size > 0 && listRevision > 0;
  function announce(change: FleetChange): void {
    if (isReady()) resolveReady();
    changes.next(change);
  }
  function isNewer(key: string, revision: number, digest: string): boolean {
    const current = accepted.get(key);
    if (!current) return true;
    if (revision !== current.revision) return revision > current.revision;
    // Two operators raced on two replicas: every process picks the same one.
    return digest > current.digest;
  }
  function refuse(published: PublishedDocument, reason: string): void {
    const { key, revision } = published;
    if ((refused.get(key) ?? 0) >= revision) return;
    refused.set(key, revision);
    warn(LogPart.Document, `Revision ${revision} was refused. ${reason}`);
    const kind = FleetChangeKind.DocumentRefused;
    announce({ kind, key, revision, detail: reason });
  }
  return {
    documents: () => accepted,
    documentOf(service) {
      for (const { document } of accepted.values()) {
        if (document.service === service) return document;
      }
      return undefined;
    },
    vms: () => vms,
    listRevision: () => listRevision,
    revision() {
      let highest = 0;
      for (const { revision } of accepted.values()) {
        highest = Math.max(highest, revision);
      }
      return highest;
    },
    revisions() {
      const revisions: Record<string, number> = {};
      for (const { key, revision } of accepted.values()) {
        revisions[key] = revision;
      }
      return revisions;
    },
    offerDocument(published, source) {
      const { key, revision, text } = published;
      const digest = hashText(text);
      if (!isNewer(key, revision, digest)) return false;
      try {
        const document = parseDocument(text, `${key}@${revision}`);
        accepted.set(key, { key, revision, digest, text, document });
      } catch (error) {
        refuse(published, (error as Error).message);
        return false;
      }
      const kind = FleetChangeKind.Document;
      announce({ kind, key, revision, detail: source });
      return true;
    },
    offerVms(list) {
      if (list.revision < listRevision) return false;
      confirmedAtMs = clock.now();
      if (list.revision === listRevision) return false;
      listRevision = list.revision;
      vms = list.vms;
      const kind = FleetChangeKind.VmList;
      announce({ kind, key: "vms", revision: listRevision, detail: "" });
      return true;
    },
    confirmVms: () => void (confirmedAtMs = clock.now()),
    vmsConfirmedAtMs: () => confirmedAtMs,
    digest() {
      const documents: DigestMessage["documents"] = {};
      for (const { key, revision, digest } of accepted.values()) {
        documents[key] = [revision, digest];
      }
      return { kind: MessageKind.Digest, documents, listRevision };
    },
    missing(digest) {
      const keys: string[] = [];
      for (const [key, [revision, hash]] of Object.entries(digest.documents)) {
        if (isNewer(key, revision, hash)) keys.push(key);
      }
      const list = digest.listRevision > listRevision;
      if (keys.length === 0 && !list) return undefined;
      return { kind: MessageKind.Fetch, keys, list };
    },
    changes: changes.stream.multicast(),
    ready,
    isReady,
  };
}
