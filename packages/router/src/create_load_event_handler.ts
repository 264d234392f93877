import {
  CallEnd,
  isFailure,
  type LoadEvent,
  LoadEventKind,
  type Member,
  type SharedFacts,
} from "@rosemarytiller/peers";
import type { PromptPart } from "@rosemarytiller/policy";
import type { Clock } from "@rosemarytiller/shared";
import type { Registry } from "./create_registry.ts";
import type { StreamOrigins } from "./create_stream_origins.ts";
import type { UpstreamLimits } from "./create_upstream_limits.ts";
import { MIN_CONFIRMED_SILENCE_MS } from "./silence_limits.ts";

/** Dependencies of the handler of load events. */
export interface LoadEventHandlerOptions {
  clock: Clock;
  registry: Registry;
  upstreamLimits: UpstreamLimits;
  facts: Pick<SharedFacts, "merge">;
  origins: Pick<StreamOrigins, "onPeerOrigin">;
  /** Data centre of this VM. */
  dataCentre: string;
}

/** Weight of calls reported by VMs of other data centres in failure shares. */
const REMOTE_CALL_WEIGHT = 0.3;

function toParts(parts: readonly [string, number][]): PromptPart[] {
  return parts.map(([id, tokens]) => ({ id, tokens }));
}

/** Creates the handler, which applies what other VMs report. */
export function createLoadEventHandler(
  options: LoadEventHandlerOptions,
): (member: Member, events: readonly LoadEvent[]) => void {
  const { clock, registry, upstreamLimits, facts, origins, dataCentre } =
    options;

  function onLoadEvents(member: Member, events: readonly LoadEvent[]): void {
    const nowMs = clock.now();
    for (const event of events) {
      if (event.kind === LoadEventKind.Fact) {
        facts.merge([event], member.host);
        continue;
      }
      if (event.kind === LoadEventKind.StreamStarted) {
        origins.onPeerOrigin(event);
        continue;
      }
      const upstream = registry.find(event.upstream);
      if (!upstream) continue;
      if (event.kind === LoadEventKind.Stalled) {
        const quietMs = nowMs - upstream.fleetLastReceivedMs;
        if (quietMs >= MIN_CONFIRMED_SILENCE_MS) registry.onSilent(upstream);
        continue;
      }
      if (event.kind === LoadEventKind.PartsCached) {
        upstream.model.addCached(toParts(event.parts));
        continue;
      }
      if (event.kind === LoadEventKind.UpstreamLoad) {
        // VMs of its data centre know each call.
        const isRemote = upstream.entry.dataCentre !== dataCentre;
        if (isRemote) upstream.model.onReport(event, nowMs);
        continue;
      }
      const key = `${member.host}:${event.call}`;
      if (event.kind === LoadEventKind.Started) {
        const parts = toParts(event.parts);
        upstream.model.start(key, event, { nowMs, parts });
        upstreamLimits.onSent(upstream, member.host);
      } else if (event.kind === LoadEventKind.FirstEvent) {
        upstream.model.onFirstEvent(key, nowMs);
        registry.onPeerReceived(upstream);
      } else {
        if (event.end === CallEnd.Declined) upstreamLimits.onDeclined(upstream);
        upstream.model.end(key, nowMs);
        upstreamLimits.onEnded(upstream);
        if (event.end === CallEnd.Other) continue;
        if (event.end === CallEnd.Completed) registry.onPeerReceived(upstream);
        const weight = member.dataCentre === dataCentre
          ? 1
          : REMOTE_CALL_WEIGHT;
        registry.onCallEnd(upstream, isFailure(event.end), weight);
      }
    }
  }

  return onLoadEvents;
}
