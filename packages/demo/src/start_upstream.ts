import { UpstreamKind } from "@rosemarytiller/shared";
import {
  createStandInEngine,
  createStandInService,
} from "@rosemarytiller/standins";

/** A stand-in of an upstream. */
export interface RunningUpstream {
  readonly url: string;
  close(): Promise<void>;
}

/** Time to the first token of a stand-in engine in milliseconds. */
const FIRST_TOKEN_MS = 40;
/** Time between two tokens of a stand-in engine in milliseconds. */
const TOKEN_MS = 10;
/** Time of one call of a stand-in plain service in milliseconds. */
const SERVICE_MS = 15;

const STARTERS: Record<
  UpstreamKind,
  (name: string, port: number) => Promise<RunningUpstream>
> = {
  [UpstreamKind.ModelRunner]: (_name, port) =>
    createStandInEngine({
      port,
      firstTokenMs: FIRST_TOKEN_MS,
      tokenMs: TOKEN_MS,
    }),
  [UpstreamKind.PlainService]: (name, port) =>
    createStandInService({ name, port, delayMs: SERVICE_MS }),
};

/** Starts a stand-in of an upstream; port 0 picks a free one. */
export function startUpstream(
  kind: UpstreamKind,
  options: { name: string; port: number },
): Promise<RunningUpstream> {
  return STARTERS[kind](options.name, options.port);
}
