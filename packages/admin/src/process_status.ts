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
  /** Processes whose lease the leader holds, where leases are kept. */
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
}
