import { computeReferenceAnswer } from "../../standins/engine/referenceModel.ts";
import type { LocalDeployment } from "../deployment/localDeployment.ts";
import { sendChat } from "../deployment/sendChat.ts";
import { sendDocument } from "../deployment/sendDocument.ts";
import type { RequestPlan } from "./requestPlan.ts";
import type { SendRecord } from "./sendRecord.ts";

/** One attempt of a planned request. */
interface PlannedAttempt {
    deployment: LocalDeployment;
    plan: RequestPlan;
    node: string;
    /** host:port of the node's caller listener. */
    address: string;
    /** Whether the caller disconnects early if planned; false for retries. */
    mayDisconnect: boolean;
}

/** The part of the record that the response determines. */
type AttemptResult = Omit<SendRecord, "plan" | "node" | "sentAt" | "endedAt">;

/** Initial values, for an attempt without a response. */
const initialResult: AttemptResult = {
    outcome: "",
    errorCode: "",
    message: "",
    isReplayed: false,
    execution: 0,
    chain: "",
    longestGapMilliseconds: 0,
};
/** Error codes of failed connection attempts, after which no part of the request was sent. */
const notConnectedCodes: ReadonlySet<string> = new Set(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT"]);

/**
 * Sends a planned request once and compares the response with the expected one.
 * An incorrect response gets the outcome `wrong`.
 */
export async function sendPlanned(attempt: PlannedAttempt): Promise<SendRecord> {
    const { plan, node } = attempt;
    const sentAt = Date.now();
    const controller = new AbortController();
    const disconnects = attempt.mayDisconnect && plan.disconnectAfterMilliseconds > 0;
    const timer = disconnects ? setTimeout(() => controller.abort(), plan.disconnectAfterMilliseconds) : undefined;
    const send = plan.kind === "chat" ? sendPlannedChat : sendPlannedDocument;
    let result: AttemptResult;
    try {
        result = await send(attempt, controller.signal);
    }
    catch (error) {
        result = describeFailure(error);
    }
    clearTimeout(timer);
    if (controller.signal.aborted && result.outcome === "cut") {
        result.outcome = "left";
    }
    return { plan, node, sentAt, endedAt: Date.now(), ...result };
}

async function sendPlannedChat(attempt: PlannedAttempt, signal: AbortSignal): Promise<AttemptResult> {
    const { plan, deployment, address } = attempt;
    const { service, prompt, maximumTokens, isStreamed, idempotencyKey, readDelayMilliseconds } = plan;
    const answer = await sendChat({
        address,
        apiKey: deployment.apiKey,
        service,
        prompt,
        maximumTokens,
        isStreamed,
        idempotencyKey,
        signal,
        readDelayMilliseconds,
    });
    const { modelLayers } = deployment;
    const expected = computeReferenceAnswer({ modelLayers, prompt: `user: ${prompt}`, maximumTokens }).text;
    const { outcome, errorCode, errorMessage, isReplayed, chain, longestGapMilliseconds } = answer;
    const result = {
        ...initialResult,
        outcome,
        errorCode,
        message: errorMessage,
        isReplayed,
        chain,
        longestGapMilliseconds,
    };
    const isCorrect = outcome === "finished" ? answer.text === expected : expected.startsWith(answer.text);
    return isCorrect
        ? result
        : { ...result, outcome: "wrong", message: `received "${answer.text}" instead of "${expected}"` };
}

async function sendPlannedDocument(attempt: PlannedAttempt, signal: AbortSignal): Promise<AttemptResult> {
    const { plan, deployment, address } = attempt;
    const { service, idempotencyKey, number, prompt } = plan;
    const path = `/soak/${number}`;
    const answer = await sendDocument({
        address,
        apiKey: deployment.otherApiKey,
        service,
        path,
        body: prompt,
        idempotencyKey,
        signal,
    });
    const { outcome, errorCode, errorMessage, isReplayed, execution } = answer;
    const result = { ...initialResult, outcome, errorCode, message: errorMessage, isReplayed, execution };
    return outcome === "finished" && !answer.isRight
        ? { ...result, outcome: "wrong", message: `unexpected status ${answer.status}, or response to another request` }
        : result;
}

function describeFailure(error: unknown): AttemptResult {
    const { code, name, message } = error as { code?: string; name?: string; message?: string; };
    const causeCode = (error as { cause?: { code?: string; }; }).cause?.code;
    const isNotConnected = notConnectedCodes.has(code ?? "") || notConnectedCodes.has(causeCode ?? "");
    return {
        ...initialResult,
        outcome: isNotConnected ? "notConnected" : "cut",
        errorCode: code ?? name ?? "",
        message: `no response: ${message ?? ""}`,
    };
}
