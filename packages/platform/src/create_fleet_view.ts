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
  Settled = "settled",
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
  /** A VM of the list in force. */
  findVm(name: string): PublishedVm | undefined;
  /** Whether the list in force names any VM of an upstream. */
  listsUpstreamVms(): boolean;
  /** Revision of the VM list; 0 before the first. */
  listRevision(): number;
  /** Highest revision of a document in force; 0 before the first. */
  revision(): number;
  /** Revision in force by document key. */
  revisions(): Record<string, number>;
  /** Hash of the text in force by document key. */
  digests(): Record<string, string>;
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
  /** What a peer with the given digest has and this process lacks. */
  missing(digest: DigestMessage): { keys: string[]; list: boolean };
  /** Whether this process has something newer than a peer's digest. */
  isAhead(digest: DigestMessage): boolean;
  /** Notes that the platform was heard, here or by a peer, so long ago. */
  notePlatform(ageMs: number): void;
  /** Time since the platform was last heard, by anyone that told of it. */
  platformAgeMs(): number;
  /** Changes as they come in force. */
  readonly changes: Stream<FleetChange>;
  /** Whether a document and a VM list are in force. */
  hasData(): boolean;
  /** Notes that what is in force was compared with peers. */
  settle(): void;
  /** Resolves when this process may serve. */
  readonly ready: Promise<void>;
  /** Whether data is in force and was compared, or the wait is over. */
  isReady(): boolean;
}

/** Longest wait of a starting process for its peers, after its first data. */
export const START_WAIT_MS = 2000;
/** Refused texts that are remembered, so as not to ask for them again. */
export const REFUSED_KEPT = 100;

/** Creates an empty fleet view. */
export function createFleetView(options: { clock: Clock }): FleetView {
  const { clock } = options;
  const accepted = new Map<string, AcceptedDocument>();
  const refused = new Set<string>();
  const changes = createSubject<FleetChange>();
  let vms: readonly PublishedVm[] = [];
  let vmsByName = new Map<string, PublishedVm>();
  let listsUpstreamVms = false;
  let listRevision = 0;
  let confirmedAtMs = -Infinity;
  let platformAtMs = clock.now();
  let settled = false;
  let waiting = false;
  let resolveReady = () => {};
  const ready = new Promise<void>((resolve) => resolveReady = resolve);

  const hasData = () => accepted.size > 0 && listRevision > 0;
  const isReady = () => settled && hasData();
  function announce(change: FleetChange): void {
    if (hasData() && !waiting) {
      waiting = true;
      clock.after(START_WAIT_MS, settle);
    }
    if (isReady()) resolveReady();
    changes.next(change);
  }
  function settle(): void {
    if (settled || !hasData()) return;
    settled = true;
    const kind = FleetChangeKind.Settled;
    announce({ kind, key: "", revision: listRevision, detail: "" });
  }
  function isNewer(key: string, revision: number, digest: string): boolean {
    const current = accepted.get(key);
    if (!current) return true;
    if (revision !== current.revision) return revision > current.revision;
    // Two operators raced on two replicas: every process picks the same one.
    return digest > current.digest;
  }
  function isWanted(key: string, revision: number, digest: string): boolean {
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
      if (refused.size <= REFUSED_KEPT) break;
      refused.delete(oldest);
    }
    warn(LogPart.Document, `Revision ${revision} was refused. ${reason}`);
    const kind = FleetChangeKind.DocumentRefused;
    announce({ kind, key, revision, detail: reason });
  }
  return {
    documents: () => accepted,
    documentOf(service) {
      // Every process takes the same one where two keys claim a service.
      let found: AcceptedDocument | undefined;
      for (const candidate of accepted.values()) {
        if (candidate.document.service !== service) continue;
        if (!found || candidate.key < found.key) found = candidate;
      }
      return found?.document;
    },
    vms: () => vms,
    findVm: (name) => vmsByName.get(name),
    listsUpstreamVms: () => listsUpstreamVms,
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
      if (!isWanted(key, revision, digest)) return false;
      try {
        const document = parseDocument(text, `${key}@${revision}`);
        accepted.set(key, { key, revision, digest, text, document });
      } catch (error) {
        refuse(published, digest, (error as Error).message);
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
      vmsByName = new Map(vms.map((vm) => [vm.name, vm]));
      listsUpstreamVms = vms.some((vm) => vm.kind === "upstream");
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
      return {
        kind: MessageKind.Digest,
        documents,
        listRevision,
        settled: isReady(),
        platformAgeMs: clock.now() - platformAtMs,
      };
    },
    missing(digest) {
      const keys: string[] = [];
      for (const [key, [revision, hash]] of Object.entries(digest.documents)) {
        if (isWanted(key, revision, hash)) keys.push(key);
      }
      return { keys, list: digest.listRevision > listRevision };
    },
    isAhead(digest) {
      if (listRevision > digest.listRevision) return true;
      for (const { key, revision, digest: own } of accepted.values()) {
        const [theirs, hash] = digest.documents[key] ?? [-1, ""];
        if (revision > theirs) return true;
        if (revision === theirs && own > hash) return true;
      }
      return false;
    },
    notePlatform(ageMs) {
      platformAtMs = Math.max(platformAtMs, clock.now() - ageMs);
    },
    platformAgeMs: () => clock.now() - platformAtMs,
    changes: changes.stream.multicast(),
    hasData,
    settle,
    ready,
    isReady,
  };
}
