import { RunState } from "@rosemarytiller/shared";

/** Tracks whether an upstream has run, or may have run, a request. */
export interface RunRecord {
  /** Notes that the first byte of an attempt is about to be sent. */
  noteSent(): void;
  /** Notes that the upstream refused the last attempt without running it. */
  noteRefused(): void;
  /** Notes that an upstream has run the request and sent a complete response. */
  noteRan(): void;
  /**
   * State for the `run` field of errors that `serveCall` throws, except
   * `duplicate-key`, whose field describes the earlier request.
   */
  state(): RunState;
}

/** Creates the record of a request of which nothing has been sent. */
export function createRunRecord(): RunRecord {
  let unresolved = 0;
  let ran = false;
  return {
    noteSent: () => void unresolved++,
    noteRefused: () => void unresolved--,
    noteRan: () => void (ran = true),
    state() {
      if (ran) return RunState.Ran;
      return unresolved > 0 ? RunState.MayHaveRun : RunState.NotRun;
    },
  };
}
