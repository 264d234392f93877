import { hashKey } from "@rosemarytiller/sessions";

/** API key of the only client account in a benchmark document. */
export const BENCH_KEY = "bench-key-of-the-caller";

/**
 * Formats a service document (JSON) with one engine, whose cold limit equals
 * its warm limit, and `idleUpstreams` upstreams of other models that get no calls.
 */
export function formatBenchDocument(
  options: { engine: string; maxConcurrent: number; idleUpstreams?: number },
): string {
  const { engine, maxConcurrent, idleUpstreams = 0 } = options;
  const upstreams: Record<string, object> = {
    engine: {
      kind: "model-runner",
      serves: ["small"],
      dataCentre: "north",
      vm: "engine-vm",
      address: engine,
      maxConcurrent,
      coldConcurrent: maxConcurrent,
    },
  };
  for (let index = 0; index < idleUpstreams; index++) {
    upstreams[`idle-${index + 1}`] = {
      kind: "model-runner",
      serves: [`model-${index % 17}`],
      dataCentre: "north",
      vm: `idle-vm-${index + 1}`,
      address: `http://127.0.0.1:${1024 + index}`,
      maxConcurrent: 8,
    };
  }
  return JSON.stringify({
    service: "test",
    dataCentres: { north: { region: "one" } },
    clients: { caller: { keys: [hashKey(BENCH_KEY)] } },
    upstreams,
    classes: [{
      name: "all",
      tier: 1,
      firstTokenMs: 430,
      queueMs: 10_000,
    }],
  });
}
