import type { Role } from "@rosemarytiller/shared";

/** State of a process, as `/status` returns it. */
export interface ProcessStatus {
  /** Name of the process: `VM/role`. */
  process: string;
  role: Role;
  dataCentre: string;
  /** Whether the load balancer may send requests to this process. */
  ready: boolean;
  /** Whether a planned stop is in progress. */
  stopping: boolean;
  /** Active revision by document key. */
  revisions: Record<string, number>;
  /** Hash of the active text by document key. */
  digests?: Record<string, string>;
  /** Revision of the active VM list. */
  listRevision: number;
  /** VMs of the active list, live or leaving. */
  members: { name: string; state: string }[];
  /** Present if the process is an entry. */
  entry?: EntryStatus;
  /** Present if the process is a broker. */
  broker?: BrokerStatus;
}

/** State that is specific to an entry. */
export interface EntryStatus {
  /** Requests in progress. */
  requests: number;
  /** Permits whose calls are in progress. */
  permits: number;
}

/** State that is specific to a broker. */
export interface BrokerStatus {
  /** Pools that it leads. */
  pools: PoolStatus[];
}

/** State of a pool at its leader. */
export interface PoolStatus {
  pool: string;
  /** Number of queued requests by class. */
  queue: Record<string, number>;
  upstreams: UpstreamStatus[];
  /** Name of the pool's lease, which pools of the same upstreams share. */
  lease?: string;
  /** VMs that back this broker as leader; it leads if there are any. */
  backers?: string[];
}

/** State of an upstream at its pool's leader. */
export interface UpstreamStatus {
  name: string;
  address: string;
  /** Maximum number of concurrent calls. */
  limit: number;
  /** Calls in progress under permits of this leader. */
  live: number;
  /** Share of the limit that this leader may use, 0 to 1. */
  share?: number;
  /**
   * Upper bound of the unaccounted in-flight calls: calls that may be in
   * progress there without a permit of this leader.
   */
  unseen?: number;
}
