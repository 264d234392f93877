import { RunState } from "@rosemarytiller/shared";

/** What is known of whether an upstream ran a request. */
export interface RunRecord {
  /** Bytes of a call are about to leave. */
  noteSent(): void;
  /** The upstream of the last call refused it without running it. */
  noteRefused(): void;
  /** An upstream has answered the request. */
  noteRan(): void;
  /** The only source of the `run` field of answers. */
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
