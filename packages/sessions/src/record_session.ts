import { EventKind } from "@rosemarytiller/shared";
import {
  collectTimelines,
  type EventDetail,
  type OrderedEvent,
  orderEvents,
} from "@rosemarytiller/timeline";
import { type CallerAnswer, callFleet } from "./call_fleet.ts";
import { type Fleet, waitUntil } from "./start_fleet.ts";

/** A caller's request in a session. */
export interface SessionRequest {
  method?: string;
  path: string;
  key?: string;
  headers?: Record<string, string>;
  /** Sent as JSON unless it is a text. */
  body?: unknown;
}

/** How a call of a session is sent and shown. */
export interface CallOptions {
  /** Awaited before the request's events are read. */
  beforeTimeline?: Promise<unknown>;
  /** Called whenever data of the answer comes. */
  onText?: () => void;
  /** Kinds of event whose number may differ from run to run. */
  hidden?: readonly EventKind[];
}

/** Writes down what a caller and the fleet say to each other. */
export interface SessionRecord {
  /** Sends a request to a VM and records it with its answer. */
  call(
    url: string,
    request: SessionRequest,
    options?: CallOptions,
  ): Promise<CallerAnswer>;
  /**
   * Sends a request and closes the connection at the first data of the answer;
   * returns the request's identifier.
   */
  callAndLeave(url: string, request: SessionRequest): Promise<string>;
  /** Records a step that is no request. */
  note(text: string): void;
  /** The session's text, with identifiers and times normalized. */
  text(): string;
}

/** Headers of an answer that a session shows. */
const SHOWN_HEADERS = ["content-type", "retry-after", "x-request-id"];

/** Starts the record of a session. */
export function recordSession(title: string, fleet: Fleet): SessionRecord {
  const lines = [title, ""];

  function recordRequest(request: SessionRequest): RequestInit {
    const { method = "POST", path, headers = {}, body } = request;
    lines.push(`> ${method} ${path}`);
    for (const [name, value] of Object.entries(headers)) {
      lines.push(`> ${name}: ${value}`);
    }
    const text = typeof body === "string" ? body : JSON.stringify(body);
    if (text) lines.push(`> ${text}`);
    return { method, headers, body: text };
  }

  function recordHead(status: number, headers: Headers): void {
    lines.push(`< ${status}`);
    for (const name of SHOWN_HEADERS) {
      const value = headers.get(name);
      if (value) lines.push(`< ${name}: ${value}`);
    }
  }

  async function recordTimeline(
    request: string,
    hidden: readonly EventKind[] = [],
  ): Promise<void> {
    const events = await settledEvents(fleet, request);
    const shown = events.filter(({ kind }) => !hidden.includes(kind));
    lines.push(...formatLanes(shown), "");
  }

  return {
    async call(url, request, options = {}) {
      const init = recordRequest(request);
      const { key } = request;
      const answer = await callFleet(`${url}${request.path}`, {
        ...init,
        ...key ? { key } : {},
        onText: options.onText,
      });
      recordHead(answer.status, answer.headers);
      for (const line of answer.text.trimEnd().split("\n")) {
        lines.push(`< ${line}`.trimEnd());
      }
      if (answer.broken) lines.push("(the connection broke)");
      await options.beforeTimeline;
      const id = answer.headers.get("x-request-id");
      if (id) await recordTimeline(id, options.hidden);
      else lines.push("");
      return answer;
    },
    async callAndLeave(url, request) {
      const init = recordRequest(request);
      const leaving = new AbortController();
      const answer = await fetch(`${url}${request.path}`, {
        ...init,
        headers: { authorization: `Bearer ${request.key}`, ...init.headers },
        signal: leaving.signal,
      });
      await answer.body!.getReader().read();
      leaving.abort();
      recordHead(answer.status, answer.headers);
      lines.push("(the caller closes the connection)");
      const id = answer.headers.get("x-request-id")!;
      await recordTimeline(id);
      return id;
    },
    note: (text) => void lines.push(`(${text})`, ""),
    text: () => normalizeText(lines.join("\n")),
  };
}

/** Reads a request's events once all its permits are back. */
async function settledEvents(
  fleet: Fleet,
  request: string,
): Promise<OrderedEvent[]> {
  const addresses = fleet.vms
    .flatMap((vm) => [vm.entryAdmin, vm.brokerAddress]);
  let own: OrderedEvent[] = [];
  await waitUntil(async () => {
    const { events } = await collectTimelines(addresses);
    own = orderEvents(events).filter((event) => event.request === request);
    const count = (...kinds: EventKind[]) =>
      own.filter(({ kind }) => kinds.includes(kind)).length;
    const open = count(EventKind.PermitGranted) -
      count(EventKind.PermitReturned);
    const answered = count(
      EventKind.RequestAnswered,
      EventKind.RequestRefused,
    );
    // The events of an entry that has stopped went with it.
    const entryGone = !own.some(({ process }) => process.endsWith("/entry"));
    return open === 0 && own.length > 0 && (answered > 0 || entryGone);
  }, `the time line of ${request} is settled`);
  return own;
}

/**
 * Writes the events of each process together, entries first: the order between
 * processes, and which broker leads, may differ from run to run.
 */
function formatLanes(events: readonly OrderedEvent[]): string[] {
  const lanes = new Map<string, string>();
  for (const { process, kind, detail } of events) {
    const role = process.split("/")[1];
    const line = `${role}: ${kind}${formatShown(detail)}\n`;
    lanes.set(process, (lanes.get(process) ?? "") + line);
  }
  const texts = [...lanes.values()].sort();
  return texts.reverse().map((text) => text.trimEnd());
}

/** Details that are the same in each run. */
const SHOWN_DETAILS = ["class", "upstream", "outcome", "error", "run"];

function formatShown(detail: EventDetail): string {
  let text = "";
  for (const name of SHOWN_DETAILS) {
    if (detail[name] !== undefined) text += ` ${name}=${detail[name]}`;
  }
  return text;
}

const IDENTIFIER = /\b(request|attempt|key)-[A-Za-z0-9_-]{16}/g;

/** Numbers identifiers in the order in which they come, and hides times. */
function normalizeText(text: string): string {
  const names = new Map<string, string>();
  const counts = new Map<string, number>();
  return text
    .replace(IDENTIFIER, (identifier, prefix: string) => {
      let name = names.get(identifier);
      if (name) return name;
      const count = (counts.get(prefix) ?? 0) + 1;
      counts.set(prefix, count);
      name = `${prefix}-${count}`;
      names.set(identifier, name);
      return name;
    })
    .replace(/^< retry-after: \d+$/gm, "< retry-after: SECONDS")
    .replace(/http:\/\/127\.0\.0\.1:\d+/g, "http://ADDRESS");
}
