import { parseDocument, type ServiceDocument } from "@rosemarytiller/document";
import type {
  DigestMessage,
  PublishedDocument,
  PublishedVm,
} from "@rosemarytiller/link";
import { MessageKind } from "@rosemarytiller/link";
import {
  type Clock,
  createSubject,
  LogPart,
  warn,
} from "@rosemarytiller/shared";
import { hashText } from "@rosemarytiller/shared/rendezvous";
import type { Stream } from "most";

/** The active revision of a document: the newest valid one received. */
export interface AcceptedDocument {
  key: string;
  revision: number;
  /** Hash of `text`. */
  digest: string;
  text: string;
  document: ServiceDocument;
}

/** Kinds of change of a fleet view. */
export enum FleetChangeKind {
  Document = "document",
  DocumentRefused = "document-refused",
  VmList = "vm-list",
  Synced = "settled",
}

/** A change of the documents or VMs of a fleet view, or of its readiness. */
export interface FleetChange {
  kind: FleetChangeKind;
  /** Key of the document; `vms` for the VM list. */
  key: string;
  revision: number;
  /** Source of a document or reason of its refusal; empty for other kinds. */
  detail: string;
}

/** The documents and VM list of the fleet as this process has them. */
export interface FleetView {
  /** Active documents by key. */
  documents(): ReadonlyMap<string, AcceptedDocument>;
  /** Active document of a service; the smallest key wins if several name it. */
  documentOf(service: string): ServiceDocument | undefined;
  /** Active VM list; empty before the first. */
  vms(): readonly PublishedVm[];
  /** Finds a VM of the active list by name. */
  findVm(name: string): PublishedVm | undefined;
  /** Whether the active list has any VM of kind `upstream`. */
  hasUpstreamVms(): boolean;
  /** Revision of the VM list; 0 before the first. */
  listRevision(): number;
  /** Highest revision of the active documents; 0 before the first. */
  revision(): number;
  /** Active revision by document key. */
  revisions(): Record<string, number>;
  /** Hash of the active text by document key. */
  digests(): Record<string, string>;
  /**
   * Activates a document if it is newer and valid; returns whether it did.
   * An invalid one is logged and refused, and not fetched again. `source` is
   * the detail of the change.
   */
  offerDocument(published: PublishedDocument, source: string): boolean;
  /**
   * Activates a VM list if it is newer; returns whether it did. A list of the
   * active revision confirms that list.
   */
  offerVms(list: { revision: number; vms: readonly PublishedVm[] }): boolean;
  /** Records that a source just confirmed the active VM list. */
  confirmVms(): void;
  /**
   * Monotonic time in milliseconds at which the active VM list was last
   * confirmed; -Infinity before the first list.
   */
  vmsConfirmedAtMs(): number;
  /** Digest of the active documents and VM list, to send to peers. */
  digest(): DigestMessage;
  /**
   * Document keys of a peer's digest that are newer there and not refused
   * here, and whether the peer's VM list is newer.
   */
  findMissing(digest: DigestMessage): { keys: string[]; list: boolean };
  /** Whether this process has something newer than a peer's digest. */
  isAhead(digest: DigestMessage): boolean;
  /**
   * Records that this process or a peer received a response of the platform
   * `ageMs` ago.
   */
  recordPlatformContact(ageMs: number): void;
  /**
   * Time in milliseconds since the platform's last response to this process or
   * to any peer that reported one; counted from the creation before the first.
   */
  platformAgeMs(): number;
  /** Changes, emitted as they take effect. */
  readonly changes: Stream<FleetChange>;
  /** Whether a document and a VM list are active. */
  hasData(): boolean;
  /**
   * Marks the active data as compared with peers; ignored while there is no
   * document or no VM list.
   */
  markSynced(): void;
  /** Resolves when `isReady` becomes true. */
  readonly ready: Promise<void>;
  /**
   * Whether a document and a VM list are active and were compared with peers,
   * or `PEER_SYNC_TIMEOUT_MS` has passed since both became active.
   */
  isReady(): boolean;
}

/** Maximum wait for the comparison with peers once a view has data. */
export const PEER_SYNC_TIMEOUT_MS = 2000;
/** Refused revisions kept, so that they are not fetched again. */
export const REFUSED_DOCUMENTS_MAX = 100;

/** Creates a fleet view without documents and VMs; it is not ready. */
export function createFleetView(options: { clock: Clock }): FleetView {
  const { clock } = options;
  const accepted = new Map<string, AcceptedDocument>();
  const refused = new Set<string>();
  const changes = createSubject<FleetChange>();
  let vms: readonly PublishedVm[] = [];
  let vmsByName = new Map<string, PublishedVm>();
  let hasUpstreamVms = false;
  let listRevision = 0;
  let vmsConfirmedAtMs = -Infinity;
  let platformContactAtMs = clock.now();
  let isSynced = false;
  let hasSyncTimer = false;
  let resolveReady = () => {};
  const ready = new Promise<void>((resolve) => resolveReady = resolve);

  const hasData = () => accepted.size > 0 && listRevision > 0;
  const isReady = () => isSynced && hasData();
  function publishChange(change: FleetChange): void {
    if (hasData() && !hasSyncTimer) {
      hasSyncTimer = true;
      clock.after(PEER_SYNC_TIMEOUT_MS, markSynced);
    }
    if (isReady()) resolveReady();
    changes.next(change);
  }
  function markSynced(): void {
    if (isSynced || !hasData()) return;
    isSynced = true;
    const kind = FleetChangeKind.Synced;
    publishChange({ kind, key: "", revision: listRevision, detail: "" });
  }
  function isNewer(key: string, revision: number, digest: string): boolean {
    const current = accepted.get(key);
    if (!current) return true;
    if (revision !== current.revision) return revision > current.revision;
    // Two operators can publish one revision on two replicas at the same time.
    // The larger digest wins, so that every process chooses the same text.
    return digest > current.digest;
  }
  function shouldFetch(key: string, revision: number, digest: string): boolean {
    if (refused.has(`${key} ${revision} ${digest}`)) return false;
    return isNewer(key, revision, digest);
  }
  function refuse(
    published: PublishedDocument,
    digest: string,
    reason: string,
  ): void {
    const { key, revision } = published;
    refused.add(`${key} ${revision} ${digest}`);
    for (const oldest of refused) {
      if (refused.size <= REFUSED_DOCUMENTS_MAX) break;
      refused.delete(oldest);
    }
    warn(
      LogPart.Document,
      `Document revision ${revision} was refused: ${reason}`,
    );
    const kind = FleetChangeKind.DocumentRefused;
    publishChange({ kind, key, revision, detail: reason });
  }
  return {
    documents: () => accepted,
    documentOf(service) {
      // Two keys can name one service; every process must choose the same one.
      let found: AcceptedDocument | undefined;
      for (const candidate of accepted.values()) {
        if (candidate.document.service !== service) continue;
        if (!found || candidate.key < found.key) found = candidate;
      }
      return found?.document;
    },
    vms: () => vms,
    findVm: (name) => vmsByName.get(name),
    hasUpstreamVms: () => hasUpstreamVms,
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
    digests() {
      const digests: Record<string, string> = {};
      for (const { key, digest } of accepted.values()) digests[key] = digest;
      return digests;
    },
    offerDocument(published, source) {
      const { key, revision, text } = published;
      const digest = hashText(text);
      if (!shouldFetch(key, revision, digest)) return false;
      try {
        const document = parseDocument(text, `${key}@${revision}`);
        accepted.set(key, { key, revision, digest, text, document });
      } catch (error) {
        refuse(published, digest, (error as Error).message);
        return false;
      }
      const kind = FleetChangeKind.Document;
      publishChange({ kind, key, revision, detail: source });
      return true;
    },
    offerVms(list) {
      if (list.revision < listRevision) return false;
      vmsConfirmedAtMs = clock.now();
      if (list.revision === listRevision) return false;
      listRevision = list.revision;
      vms = list.vms;
      vmsByName = new Map(vms.map((vm) => [vm.name, vm]));
      hasUpstreamVms = vms.some((vm) => vm.kind === "upstream");
      const kind = FleetChangeKind.VmList;
      publishChange({ kind, key: "vms", revision: listRevision, detail: "" });
      return true;
    },
    confirmVms: () => void (vmsConfirmedAtMs = clock.now()),
    vmsConfirmedAtMs: () => vmsConfirmedAtMs,
    digest() {
      const documents: DigestMessage["documents"] = {};
      for (const { key, revision, digest } of accepted.values()) {
        documents[key] = [revision, digest];
      }
      return {
        kind: MessageKind.Digest,
        documents,
        listRevision,
        settled: isReady(),
        platformAgeMs: clock.now() - platformContactAtMs,
      };
    },
    findMissing(digest) {
      const keys: string[] = [];
      for (const [key, [revision, hash]] of Object.entries(digest.documents)) {
        if (shouldFetch(key, revision, hash)) keys.push(key);
      }
      return { keys, list: digest.listRevision > listRevision };
    },
    isAhead(digest) {
      if (listRevision > digest.listRevision) return true;
      for (const { key, revision, digest: ownDigest } of accepted.values()) {
        const [peerRevision, peerDigest] = digest.documents[key] ?? [-1, ""];
        if (revision > peerRevision) return true;
        if (revision === peerRevision && ownDigest > peerDigest) return true;
      }
      return false;
    },
    recordPlatformContact(ageMs) {
      platformContactAtMs = Math.max(platformContactAtMs, clock.now() - ageMs);
    },
    platformAgeMs: () => clock.now() - platformContactAtMs,
    changes: changes.stream.multicast(),
    hasData,
    markSynced,
    ready,
    isReady,
  };
}
