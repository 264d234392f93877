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

/**
 * The active text of a document: the newest valid one received. A text is newer
 * if its revision is higher, or equal with a larger hash.
 */
export interface ActiveDocument {
  key: string;
  revision: number;
  /** Hash of `text`. */
  hash: string;
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
  /** Key of the document; `vms` for the VM list; empty for `Synced`. */
  key: string;
  /** Revision of the document, else of the VM list. */
  revision: number;
  /** Source of a document or reason of its refusal; empty for other kinds. */
  detail: string;
}

/** The documents and VM list of the fleet as this process has them. */
export interface FleetView {
  /** Active documents by key. */
  documents(): ReadonlyMap<string, ActiveDocument>;
  /**
   * Active document of a service. If several documents are for the service, the
   * one with the smallest key.
   */
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
   * confirmed; -Infinity before the first confirmation.
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
   * `ageMs` ago; `Infinity` if there was none.
   */
  recordPlatformContact(ageMs: number): void;
  /**
   * Time in milliseconds since the platform's last response to this process or
   * to any peer that reported one; `Infinity` before the first.
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
/** Maximum number of refused texts remembered, which are not fetched again. */
export const REFUSED_DOCUMENTS_MAX = 100;

/** Creates a fleet view without documents and VMs; it is not ready. */
export function createFleetView(options: { clock: Clock }): FleetView {
  const { clock } = options;
  const active = new Map<string, ActiveDocument>();
  const refused = new Set<string>();
  const changes = createSubject<FleetChange>();
  let vms: readonly PublishedVm[] = [];
  let vmsByName = new Map<string, PublishedVm>();
  let hasUpstreamVms = false;
  let listRevision = 0;
  let vmsConfirmedAtMs = -Infinity;
  let platformContactAtMs = -Infinity;
  let isSynced = false;
  let hasSyncTimer = false;
  let resolveReady = () => {};
  const ready = new Promise<void>((resolve) => resolveReady = resolve);

  const hasData = () => active.size > 0 && listRevision > 0;
  const isReady = () => isSynced && hasData();
  /** Starts the sync timer or resolves `ready` if due, then emits a change. */
  function emitChange(change: FleetChange): void {
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
    emitChange({ kind, key: "", revision: listRevision, detail: "" });
  }
  function isNewer(key: string, revision: number, hash: string): boolean {
    const current = active.get(key);
    if (!current) return true;
    if (revision !== current.revision) return revision > current.revision;
    // Two operators can publish one revision on two replicas at the same time.
    // The larger hash wins, so that every process chooses the same text.
    return hash > current.hash;
  }
  /** Whether a text is newer than the active one and was not refused. */
  function isAcceptable(key: string, revision: number, hash: string): boolean {
    if (refused.has(`${key} ${revision} ${hash}`)) return false;
    return isNewer(key, revision, hash);
  }
  function refuse(
    published: PublishedDocument,
    hash: string,
    reason: string,
  ): void {
    const { key, revision } = published;
    refused.add(`${key} ${revision} ${hash}`);
    for (const oldest of refused) {
      if (refused.size <= REFUSED_DOCUMENTS_MAX) break;
      refused.delete(oldest);
    }
    warn(
      LogPart.Document,
      `Document revision ${revision} was refused: ${reason}`,
    );
    const kind = FleetChangeKind.DocumentRefused;
    emitChange({ kind, key, revision, detail: reason });
  }
  return {
    documents: () => active,
    documentOf(service) {
      // Two keys can name one service; every process must choose the same one.
      let found: ActiveDocument | undefined;
      for (const candidate of active.values()) {
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
      for (const { revision } of active.values()) {
        highest = Math.max(highest, revision);
      }
      return highest;
    },
    revisions() {
      const revisions: Record<string, number> = {};
      for (const { key, revision } of active.values()) {
        revisions[key] = revision;
      }
      return revisions;
    },
    digests() {
      const digests: Record<string, string> = {};
      for (const { key, hash } of active.values()) digests[key] = hash;
      return digests;
    },
    offerDocument(published, source) {
      const { key, revision, text } = published;
      const hash = hashText(text);
      if (!isAcceptable(key, revision, hash)) return false;
      try {
        const document = parseDocument(text, `${key}@${revision}`);
        active.set(key, { key, revision, hash, text, document });
      } catch (error) {
        refuse(published, hash, (error as Error).message);
        return false;
      }
      const kind = FleetChangeKind.Document;
      emitChange({ kind, key, revision, detail: source });
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
      emitChange({ kind, key: "vms", revision: listRevision, detail: "" });
      return true;
    },
    confirmVms: () => void (vmsConfirmedAtMs = clock.now()),
    vmsConfirmedAtMs: () => vmsConfirmedAtMs,
    digest() {
      const documents: DigestMessage["documents"] = {};
      for (const { key, revision, hash } of active.values()) {
        documents[key] = [revision, hash];
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
        if (isAcceptable(key, revision, hash)) keys.push(key);
      }
      return { keys, list: digest.listRevision > listRevision };
    },
    isAhead(digest) {
      if (listRevision > digest.listRevision) return true;
      for (const { key, revision, hash: ownHash } of active.values()) {
        const [peerRevision, peerHash] = digest.documents[key] ?? [-1, ""];
        if (revision > peerRevision) return true;
        if (revision === peerRevision && ownHash > peerHash) return true;
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
