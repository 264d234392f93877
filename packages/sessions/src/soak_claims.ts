import { checkClaims } from "./check_claims.ts";
import { ClaimProfile } from "./arbitrary_claim_history.ts";

/** Histories checked for each seed and profile. */
const HISTORIES_PER_ROUND = 200;

/** Checks claims with increasing seeds for a number of minutes. */
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
