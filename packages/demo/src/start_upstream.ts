import { UpstreamKind } from "@rosemarytiller/shared";
import {
  createStandInEngine,
  createStandInService,
} from "@rosemarytiller/standins";

/** A running stand-in upstream. */
export interface RunningUpstream {
  readonly url: string;
  close(): Promise<void>;
}

/** Time to first token of a stand-in engine in milliseconds. */
const FIRST_TOKEN_MS = 40;
/** Time between two tokens of a stand-in engine in milliseconds. */
const TOKEN_INTERVAL_MS = 10;
/** Response time of a stand-in plain service in milliseconds. */
const SERVICE_RESPONSE_MS = 15;

const UPSTREAM_STARTERS: Record<
  UpstreamKind,
  (name: string, port: number) => Promise<RunningUpstream>
> = {
  [UpstreamKind.ModelRunner]: (_name, port) =>
    createStandInEngine({
      port,
      firstTokenMs: FIRST_TOKEN_MS,
      tokenMs: TOKEN_INTERVAL_MS,
    }),
  [UpstreamKind.PlainService]: (name, port) =>
    createStandInService({ name, port, delayMs: SERVICE_RESPONSE_MS }),
};

/** Starts a stand-in upstream of this kind; port 0 picks a free one. */
export function startUpstream(
  kind: UpstreamKind,
  options: { name: string; port: number },
): Promise<RunningUpstream> {
  return UPSTREAM_STARTERS[kind](options.name, options.port);
}
