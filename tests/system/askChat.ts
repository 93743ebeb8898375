import assert from "node:assert/strict";
import type { DeployedNode, LocalDeployment } from "../../scripts/deployment/localDeployment.ts";
import { type ChatOutcome, sendChat } from "../../scripts/deployment/sendChat.ts";
import { computeReferenceAnswer } from "../../standins/engine/referenceModel.ts";

/** Options of {@link askChat}. */
interface TestChat {
    deployment: LocalDeployment;
    node: DeployedNode;
    prompt: string;
    maximumTokens?: number;
    /** Called once, in the middle of the response. */
    onMiddle?(soFar: ChatOutcome): void;
}

/** Length of the received text at which `onMiddle` is called. */
const middleCharacters = 40;

/** Sends a streamed chat request and checks that the response is complete and correct. */
export async function askChat(chat: TestChat): Promise<ChatOutcome> {
    const { deployment, node, prompt, maximumTokens = 60 } = chat;
    let isPastMiddle = false;
    const answer = await sendChat({
        address: node.callerAddress,
        apiKey: deployment.apiKey,
        service: "assistant",
        prompt,
        maximumTokens,
        isStreamed: true,
        onProgress: soFar => {
            if (!isPastMiddle && soFar.text.length > middleCharacters) {
                isPastMiddle = true;
                chat.onMiddle?.(soFar);
            }
        },
    });
    const { modelLayers } = deployment;
    const expected = computeReferenceAnswer({ modelLayers, prompt: `user: ${prompt}`, maximumTokens });
    assert.equal(answer.outcome, "finished", answer.errorMessage);
    assert.equal(answer.text, expected.text);
    assert.ok(
        chat.onMiddle === undefined || isPastMiddle,
        "The response was too short to inject a fault; change the prompt.",
    );
    return answer;
}
