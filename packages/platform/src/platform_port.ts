import type { PublishedDocument, PublishedVm } from "@rosemarytiller/link";

/** Documents that changed after a revision. */
export interface DocumentsAnswer {
  /** Newest revision of the replica that answered. */
  revision: number;
  documents: PublishedDocument[];
}

/** The platform's list of VMs. */
export interface VmsAnswer {
  revision: number;
  vms: PublishedVm[];
}

/** Port to the platform; it can only be read and watched. */
export interface PlatformPort {
  /** Documents after a revision; waits up to `waitMs` for the first. */
  readDocuments(after: number, waitMs: number): Promise<DocumentsAnswer>;
  /** The VM list once it is newer than `after`; waits up to `waitMs`. */
  readVms(after: number, waitMs: number): Promise<VmsAnswer>;
}
