import type { ClaimHolder } from "@rosemarytiller/claims";
import { handleMessage, type Link, MessageKind } from "@rosemarytiller/link";

/** Serves a link for claims until it ends. */
export async function serveClaims(
  link: Link,
  holder: ClaimHolder,
): Promise<void> {
  await link.messages.observe((message) => {
    handleMessage(
      {
        [MessageKind.Claim]: (claim) => link.send(holder.vote(claim)),
        [MessageKind.ClaimOutcome]: holder.settle,
        [MessageKind.ClaimSync](sync) {
          for (const answer of holder.answer(sync)) link.send(answer);
        },
      },
      message,
      link,
    );
  });
}
