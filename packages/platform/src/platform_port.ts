import type { PublishedDocument, PublishedVm } from "@rosemarytiller/link";

/** Response with the documents that changed after a revision. */
export interface DocumentsResponse {
  /** Newest revision of the replica that responded. */
  revision: number;
  documents: PublishedDocument[];
}

/** Response with the platform's list of VMs. */
export interface VmsResponse {
  /** Revision of the list at the replica that responded. */
  revision: number;
  /** The list; absent unless it is newer than `after`. */
  vms?: PublishedVm[];
}

/**
 * One replica of the platform, read-only. Reads reject if the replica fails or
 * does not respond in time.
 */
export interface PlatformReplica {
  /** Name for logs. */
  readonly name: string;
  /**
   * Reads the documents after a revision by long polling: responds with an
   * empty list if none appears within `waitMs`.
   */
  readDocuments(after: number, waitMs: number): Promise<DocumentsResponse>;
  /**
   * Reads the VM list by long polling: waits up to `waitMs` until its revision
   * is newer than `after`.
   */
  readVms(after: number, waitMs: number): Promise<VmsResponse>;
}

/** Port to the platform, which publishes documents and the VM list. */
export interface PlatformPort {
  /** Replicas of the platform; each may be down, slow or out of date. */
  readonly replicas: readonly PlatformReplica[];
}
