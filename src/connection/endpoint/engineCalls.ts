import type { Dispatcher } from "undici";
import { Err, Ok, type Result } from "../../result.ts";
import type { AnswerInstructions } from "../instructions/answerInstructions.ts";
import { callEngine } from "./callEngine.ts";
import { createPassFailure } from "./createPassFailure.ts";
import type { EngineAnswer } from "./engineAnswer.ts";
import type { CancelOrder, EngineOrder, EngineStatus } from "./engineProtocol.ts";
import { engineStatusSchema } from "./engineStatusSchema.ts";
import type { PassFailure } from "./passFailure.ts";

/** Options of {@link EngineCalls}. */
interface EngineCallsOptions {
    endpoint: string;
    /** Gets the connection pool to use. It changes when connections that stopped responding are replaced. */
    getDispatcher(): Dispatcher;
    /** Called with the instructions of each answer. */
    onInstructions(instructions: AnswerInstructions): void;
}

const callTimeoutMilliseconds = 2_000;

/** The calls to an engine other than passes. */
export class EngineCalls {
    private readonly options: EngineCallsOptions;

    private constructor(options: EngineCallsOptions) {
        this.options = options;
    }

    /** Creates the calls of one engine. */
    static create(options: EngineCallsOptions): EngineCalls {
        return new EngineCalls(options);
    }

    /** Frees a sequence at the engine. Errors are ignored, because the engine frees idle sequences itself. */
    async cancel(order: CancelOrder): Promise<void> {
        await this.call("POST", "/v1/cancel", order);
    }

    /** Gets the status of the engine. */
    async getStatus(): Promise<Result<EngineStatus, PassFailure>> {
        const answer = await this.call("GET", "/v1/status");
        if (!answer.ok) {
            return answer;
        }
        const status = engineStatusSchema.safeParse(answer.val.body);
        const { endpoint } = this.options;
        const { isLeaving } = answer.val.instructions;
        return status.success
            ? Ok({ ...status.data, leaving: status.data.leaving || isLeaving })
            : Err(createPassFailure(endpoint, "failed", "the status does not match the schema"));
    }

    /**
     * Sends an order. Returns the HTTP status: 200 if the engine accepted it, 409 if its fencing number is outdated.
     */
    async sendOrder(order: EngineOrder): Promise<Result<number, PassFailure>> {
        const answer = await this.call("POST", "/v1/orders", order);
        return answer.ok ? Ok(answer.val.status) : answer;
    }

    private async call(
        method: "GET" | "POST",
        path: string,
        body?: object,
    ): Promise<Result<EngineAnswer, PassFailure>> {
        const { endpoint, getDispatcher } = this.options;
        const call = { method, path, body, timeoutMilliseconds: callTimeoutMilliseconds };
        try {
            const answer = await callEngine(getDispatcher(), call);
            this.options.onInstructions(answer.instructions);
            return Ok(answer);
        }
        catch (error) {
            return Err(createPassFailure(endpoint, "unreachable", String(error)));
        }
    }
}
