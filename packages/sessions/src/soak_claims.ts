import { ClaimProfile } from "./arbitrary_claim_history.ts";
import { checkClaims } from "./check_claims.ts";

/** Histories checked for each seed and profile. */
const HISTORIES_PER_PROFILE = 200;

/**
 * Checks claims with increasing seeds for a number of minutes; prints the
 * totals of each seed and profile. Rejects at the first violation.
 */
export async function soakClaims(
  options: { seed: number; minutes: number },
): Promise<void> {
  const untilMs = performance.now() + options.minutes * 60_000;
  for (let seed = options.seed; performance.now() < untilMs; seed++) {
    for (const profile of Object.values(ClaimProfile)) {
      const histories = HISTORIES_PER_PROFILE;
      const totals = await checkClaims({ seed, histories, profile });
      console.log(JSON.stringify({ soak: "claims", seed, profile, ...totals }));
    }
  }
}
