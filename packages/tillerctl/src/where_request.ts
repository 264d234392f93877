import type { WhereAnswer, WhereCandidate } from "@rosemarytiller/router";
import { request } from "undici";
import { type CommandContext, ExitCode, UsageError } from "./command.ts";

/** Timeout of the question to a router, in milliseconds. */
const WHERE_TIMEOUT_MS = 3000;
/** Candidates that the text lists for each service. */
const LISTED_CANDIDATES = 12;

/**
 * `tillerctl where ADDRESS HOST PATH`: asks a router at its metrics address
 * where a request would go now, without sending it. Returns `ExitCode.Failed` if
 * the router does not answer or would refuse the request.
 */
export async function whereRequest(context: CommandContext): Promise<ExitCode> {
  const { flags, print, warn } = context;
  const answer = await askRouter(context);
  if (flags.json) print(`${JSON.stringify(answer)}\n`);
  else print(formatAnswer(answer));
  let isRefused = answer.places.length === 0;
  for (const { service, chosen, takenShare } of answer.places) {
    if (chosen !== undefined && takenShare === 1) continue;
    isRefused = true;
    if (chosen === undefined) warn(`${service}: no upstream can take it now\n`);
    else {
      const percent = Math.round(takenShare * 100);
      warn(`${service}: ${percent} % of the account's requests are taken\n`);
    }
  }
  return isRefused ? ExitCode.Failed : ExitCode.Ok;
}

async function askRouter(
  { input, flags }: CommandContext,
): Promise<WhereAnswer> {
  const [address, host, path] = input;
  if (!address || !host || !path) {
    throw new UsageError("where needs ADDRESS HOST PATH; see tillerctl --help");
  }
  const query = new URLSearchParams({ host, path });
  const optional = {
    account: flags.client,
    tokens: flags.tokens,
    output: flags.output,
    parts: flags.parts,
    bytes: flags.bytes,
  };
  for (const [name, value] of Object.entries(optional)) {
    if (value !== undefined) query.set(name, value);
  }
  const { statusCode, body } = await request(
    `http://${address}/where?${query}`,
    { signal: AbortSignal.timeout(WHERE_TIMEOUT_MS) },
  ).catch((error: Error) => {
    throw new Error(`${address} did not answer: ${error.message}`);
  });
  if (statusCode === 200) return await body.json() as WhereAnswer;
  const text = await body.text();
  throw statusCode === 400 || statusCode === 404
    ? new UsageError(`${address} refused the question: ${text}`)
    : new Error(`${address} answered ${statusCode}: ${text}`);
}

function formatAnswer(answer: WhereAnswer): string {
  const { vm, configurationVersion, route, account, urgency } = answer;
  const lines = [
    `${vm}, configuration ${configurationVersion}: route ${route}, ` +
    `account ${account ?? "none"}, urgency ${urgency}`,
  ];
  for (const { service, takenShare, chosen, candidates } of answer.places) {
    const percent = Math.round(takenShare * 100);
    lines.push(
      `service ${service}: would go to ${chosen ?? "no upstream"}; ` +
        `${percent} % of the account's requests are taken`,
    );
    for (const candidate of candidates.slice(0, LISTED_CANDIDATES)) {
      lines.push(`  ${formatCandidate(candidate)}`);
    }
    const others = candidates.length - LISTED_CANDIDATES;
    if (others > 0) lines.push(`  and ${others} more (--json lists them)`);
  }
  return `${lines.join("\n")}\n`;
}

function formatCandidate(candidate: WhereCandidate): string {
  const { upstream, dataCentre, excluded, calls, queuedTokens } = candidate;
  const place = `${upstream} in ${dataCentre}: ${calls} calls, ` +
    `${queuedTokens} tokens waiting`;
  if (excluded) return `${place}; ruled out: ${excluded}`;
  const { predictedMs, costMs, newTokens, wouldWait, reportAgeMs } = candidate;
  const facts = [
    `${newTokens} tokens to read`,
    `first event in ${predictedMs} ms`,
    `cost ${costMs} ms`,
  ];
  if (wouldWait) facts.push("would wait at the VM");
  if (reportAgeMs !== undefined) facts.push(`load ${reportAgeMs} ms old`);
  return `${place}; ${facts.join(", ")}`;
}
