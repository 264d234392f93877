import type { Role } from "@rosemarytiller/shared";

/** What `/status` tells of a process. */
export interface ProcessStatus {
  /** Name of the process: `VM/role`. */
  process: string;
  role: Role;
  dataCentre: string;
  /** Whether the balancer may send callers here. */
  ready: boolean;
  /** Whether a planned stop is in progress. */
  stopping: boolean;
  /** Revision in force by document key. */
  revisions: Record<string, number>;
  /** Hash of the text in force by document key. */
  digests?: Record<string, string>;
  /** Revision of the VM list in force. */
  listRevision: number;
  /** VMs of the list in force, live or leaving. */
  members: { name: string; state: string }[];
  /** State of an entry. */
  entry?: EntryStatus;
  /** State of a broker. */
  broker?: BrokerStatus;
}

/** State of an entry. */
export interface EntryStatus {
  /** Requests in progress. */
  requests: number;
  /** Permits whose calls are in progress. */
  permits: number;
}

/** State of a broker. */
export interface BrokerStatus {
  /** Pools that it leads. */
  pools: PoolStatus[];
}

/** State of a pool at its leader. */
export interface PoolStatus {
  pool: string;
  /** Requests that wait, by class. */
  queue: Record<string, number>;
  upstreams: UpstreamStatus[];
  /** Lease of the pool, shared with pools of the same upstreams. */
  lease?: string;
  /** VMs whose backing the broker holds; it leads if there are any. */
  backers?: string[];
}

/** State of an upstream at its pool's leader. */
export interface UpstreamStatus {
  name: string;
  address: string;
  /** Calls that it may have at once. */
  limit: number;
  /** Calls in progress that this leader knows of. */
  live: number;
  /** Share of the limit that this leader may use, 0 to 1. */
  share?: number;
  /** Most calls of others that may be in progress there. */
  unseen?: number;
}
