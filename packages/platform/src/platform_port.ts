import type { PublishedDocument, PublishedVm } from "@rosemarytiller/link";

/** Documents that changed after a revision. */
export interface DocumentsAnswer {
  /** Newest revision of the replica that answered. */
  revision: number;
  documents: PublishedDocument[];
}

/** The platform's list of VMs. */
export interface VmsAnswer {
  /** Revision of the list at the replica that answered. */
  revision: number;
  /** The list; absent when it is not newer than asked for. */
  vms?: PublishedVm[];
}

/** One replica of the platform; it can only be read and watched. */
export interface PlatformReplica {
  /** Name for logs. */
  readonly name: string;
  /** Documents after a revision; waits up to `waitMs` for the first. */
  readDocuments(after: number, waitMs: number): Promise<DocumentsAnswer>;
  /** The VM list once it is newer than `after`; waits up to `waitMs`. */
  readVms(after: number, waitMs: number): Promise<VmsAnswer>;
}

/** Port to the platform. */
export interface PlatformPort {
  /** Its replicas; each may be down, slow or older than the others. */
  readonly replicas: readonly PlatformReplica[];
}
