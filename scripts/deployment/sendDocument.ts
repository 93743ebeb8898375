import { createHash } from "node:crypto";
import { request } from "undici";

/** Options of {@link sendDocument}. */
interface DocumentOptions {
    /** host:port of a node's caller listener. */
    address: string;
    apiKey: string;
    service: string;
    /** Path after the name of the service, with a leading slash. */
    path: string;
    body: string;
    idempotencyKey?: string;
    signal?: AbortSignal;
}

/** The response to a document request as its caller saw it. */
export interface DocumentOutcome {
    status: number;
    /** `finished`, `cut`, or the outcome that the error states. */
    outcome: string;
    errorCode: string;
    errorMessage: string;
    /** Whether the response matches this request. */
    isRight: boolean;
    /** How often the service has executed the key, as the response states. */
    execution: number;
    isReplayed: boolean;
}

/** The parts of a response that are read here. */
interface AnswerBody {
    path?: string;
    bodySha256?: string;
    execution?: number;
    error?: { code: string; outcome: string; message: string; };
}

const timeoutMilliseconds = 60_000;

/**
 * Sends a request to a document service and checks the response.
 * @throws Error if the connection fails before the response starts.
 */
export async function sendDocument(options: DocumentOptions): Promise<DocumentOutcome> {
    const headers: Record<string, string> = { authorization: `Bearer ${options.apiKey}` };
    if (options.idempotencyKey !== undefined) {
        headers["idempotency-key"] = options.idempotencyKey;
    }
    const response = await request(`http://${options.address}/v1/services/${options.service}${options.path}`, {
        method: "POST",
        headers,
        body: options.body,
        signal: options.signal,
        headersTimeout: timeoutMilliseconds,
        bodyTimeout: timeoutMilliseconds,
    });
    const outcome: DocumentOutcome = {
        status: response.statusCode,
        outcome: "cut",
        errorCode: "",
        errorMessage: "",
        isRight: false,
        execution: 0,
        isReplayed: response.headers["x-foxlead-replayed"] === "true",
    };
    try {
        readAnswer(options, outcome, await response.body.json() as AnswerBody);
    }
    catch (error) {
        outcome.errorMessage = String(error);
    }
    return outcome;
}

function readAnswer(options: DocumentOptions, outcome: DocumentOutcome, body: AnswerBody): void {
    const { error, path, bodySha256, execution } = body;
    outcome.outcome = error?.outcome ?? "finished";
    outcome.errorCode = error?.code ?? "";
    outcome.errorMessage = error?.message ?? "";
    outcome.execution = execution ?? 0;
    const expectedSha256 = createHash("sha256").update(options.body).digest("hex");
    outcome.isRight = outcome.status === 200 && path === options.path && bodySha256 === expectedSha256;
}
