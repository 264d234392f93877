import type { ClaimHolder } from "@rosemarytiller/claims";
import { handleMessage, type Link, MessageKind } from "@rosemarytiller/link";

/** Handles the claim messages of a link; resolves when the link has closed. */
export async function serveClaims(
  link: Link,
  holder: ClaimHolder,
): Promise<void> {
  await link.messages.observe((message) => {
    handleMessage(
      {
        [MessageKind.Claim]: (claim) => link.send(holder.vote(claim)),
        [MessageKind.ClaimOutcome]: holder.applyOutcome,
        [MessageKind.ClaimSync](sync) {
          for (const answer of holder.answerSync(sync)) link.send(answer);
        },
      },
      message,
      link,
    );
  });
}
