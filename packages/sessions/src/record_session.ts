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
  /** API key; `call` uses TEST_KEY by default. */
  key?: string;
  headers?: Record<string, string>;
  /** Serialized as JSON unless it is a string. */
  body?: unknown;
}

/** How a call of a session is sent and recorded. */
export interface CallOptions {
  /** Awaited before the request's timeline events are read. */
  beforeTimeline?: Promise<unknown>;
  /** Called after each chunk of the answer's body. */
  onChunk?: () => void;
  /**
   * Kinds of event to leave out, as their number may differ from run to run.
   */
  hiddenKinds?: readonly EventKind[];
}

/** Records requests, answers and timeline events as text for a golden file. */
export interface SessionRecord {
  /** Sends a request; records it with its answer and timeline events. */
  call(
    url: string,
    request: SessionRequest,
    options?: CallOptions,
  ): Promise<CallerAnswer>;
  /**
   * Sends a request and closes the connection at the first chunk of the answer;
   * returns the request's identifier.
   */
  callAndDisconnect(url: string, request: SessionRequest): Promise<string>;
  /** Records a step other than a request. */
  note(text: string): void;
  /**
   * Returns the record with identifiers, addresses and retry-after normalized.
   */
  text(): string;
}

/** Headers of an answer that are recorded. */
const RECORDED_HEADERS = ["content-type", "retry-after", "x-request-id"];

/**
 * Creates an empty record under a title. The timelines are read from the
 * processes of `fleet`.
 */
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
    for (const name of RECORDED_HEADERS) {
      const value = headers.get(name);
      if (value) lines.push(`< ${name}: ${value}`);
    }
  }

  async function recordTimeline(
    request: string,
    hiddenKinds: readonly EventKind[] = [],
  ): Promise<void> {
    const events = await collectSettledEvents(fleet, request);
    const shown = events.filter(({ kind }) => !hiddenKinds.includes(kind));
    lines.push(...formatByProcess(shown), "");
  }

  return {
    async call(url, request, options = {}) {
      const init = recordRequest(request);
      const { key } = request;
      const answer = await callFleet(`${url}${request.path}`, {
        ...init,
        ...key ? { key } : {},
        onChunk: options.onChunk,
      });
      recordHead(answer.status, answer.headers);
      for (const line of answer.text.trimEnd().split("\n")) {
        lines.push(`< ${line}`.trimEnd());
      }
      if (answer.isInterrupted) lines.push("(the connection broke)");
      await options.beforeTimeline;
      const id = answer.headers.get("x-request-id");
      if (id) await recordTimeline(id, options.hiddenKinds);
      else lines.push("");
      return answer;
    },
    async callAndDisconnect(url, request) {
      const init = recordRequest(request);
      const controller = new AbortController();
      const answer = await fetch(`${url}${request.path}`, {
        ...init,
        headers: { authorization: `Bearer ${request.key}`, ...init.headers },
        signal: controller.signal,
      });
      await answer.body!.getReader().read();
      controller.abort();
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

/**
 * Reads a request's events once it has been answered or refused and all its
 * permits are returned. If its entry has stopped, only the permits are awaited.
 */
async function collectSettledEvents(
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
    // The events of a stopped entry are lost, so its answer can't be awaited.
    const entryStopped = !own.some(({ process }) => process.endsWith("/entry"));
    return open === 0 && own.length > 0 && (answered > 0 || entryStopped);
  }, `the timeline of ${request} is complete`);
  return own;
}

/**
 * Formats the events grouped by process, entries first: the order between
 * processes, and which broker leads, may differ from run to run.
 */
function formatByProcess(events: readonly OrderedEvent[]): string[] {
  const textByProcess = new Map<string, string>();
  for (const { process, kind, detail } of events) {
    const role = process.split("/")[1];
    const line = `${role}: ${kind}${formatDetails(detail)}\n`;
    textByProcess.set(process, (textByProcess.get(process) ?? "") + line);
  }
  // In reverse order, `entry` comes before `broker`.
  const texts = [...textByProcess.values()].sort();
  return texts.reverse().map((text) => text.trimEnd());
}

/** Details that are recorded because they are the same in each run. */
const RECORDED_DETAILS = ["class", "upstream", "outcome", "error", "run"];

function formatDetails(detail: EventDetail): string {
  let text = "";
  for (const name of RECORDED_DETAILS) {
    if (detail[name] !== undefined) text += ` ${name}=${detail[name]}`;
  }
  return text;
}

const IDENTIFIER = /\b(request|attempt|key)-[A-Za-z0-9_-]{16}/g;

/**
 * Numbers identifiers in order of appearance, and masks addresses and
 * retry-after.
 */
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
