import { checkClaims } from "./check_claims.ts";
import { ClaimProfile } from "./claim_histories.ts";

/** Histories checked under one seed. */
const HISTORIES_PER_ROUND = 200;

/** Checks claims under one seed after another until the time is over. */
export async function soakClaims(
  options: { seed: number; minutes: number },
): Promise<void> {
  const untilMs = performance.now() + options.minutes * 60_000;
  for (let seed = options.seed; performance.now() < untilMs; seed++) {
    for (const profile of Object.values(ClaimProfile)) {
      const histories = HISTORIES_PER_ROUND;
      const check = await checkClaims({ seed, histories, profile });
      console.log(JSON.stringify({ soak: "claims", seed, profile, ...check }));
    }
  }
}
