import { Agent, type Dispatcher, request } from "undici";
import type { z } from "zod";
import { Err, Ok, type Result } from "../../result.ts";
import type { Clock } from "../clock.ts";
import { CallEffect } from "./callEffect.ts";
import { classifyRefusal } from "./classifyRefusal.ts";
import { classifyThrownError } from "./classifyThrownError.ts";
import { type PlatformError, PlatformErrorKind } from "./platformError.ts";
import type { PlatformFailure } from "./platformFailure.ts";

/** Share of a call's time that opening its connection may take, so that a failure to connect is told apart. */
const connectShare = 0.5;
const okStatus = 200;

interface PlatformTransportOptions {
    /** Address of the service as `host:port`. */
    address: string;
    /** Time for a whole call, in milliseconds. */
    timeoutMilliseconds: number;
    clock: Clock;
}

interface PlatformCall<T> {
    method: "GET" | "POST";
    path: string;
    /** Sent as JSON. */
    body?: object;
    effect: CallEffect;
    /** Shape of the answer's body. */
    schema: z.ZodType<T>;
}

interface PlatformAnswer {
    status: number;
    body: string;
}

/**
 * Calls the platform over HTTP. After a timeout the connections that are open serve no new calls, because they may all
 * have gone silent while new ones work.
 */
export class PlatformTransport {
    private readonly options: PlatformTransportOptions;
    private agent: Agent;
    private isClosed = false;

    private constructor(options: PlatformTransportOptions) {
        this.options = options;
        this.agent = this.createAgent();
    }

    /**
     * Creates a transport. It connects at the first call.
     * @param options - Address, timeout and clock.
     */
    static create(options: PlatformTransportOptions): PlatformTransport {
        return new PlatformTransport(options);
    }

    /**
     * Makes one call and reads its whole answer.
     * @param call - What to send and what to expect.
     */
    async call<T>(call: PlatformCall<T>): Promise<Result<T, PlatformFailure>> {
        if (this.isClosed) {
            return Err({
                kind: PlatformErrorKind.NotDone,
                message: "The platform client is closed. Create a new one.",
            });
        }
        const answer = await this.exchange(call);
        if (answer.err) {
            return answer;
        }
        const { status, body } = answer.val;
        return status === okStatus
            ? this.parseAnswer(body, call)
            : Err(classifyRefusal(status, body, call.effect));
    }

    /**
     * Opens an answer that streams until the signal aborts it. It has no timeout of its own.
     * @param path - Path of the call.
     * @param body - Sent as JSON.
     * @param signal - Ends the stream and destroys its connection.
     * @throws The error of undici, or the signal's reason.
     */
    async openStream(path: string, body: object, signal: AbortSignal): Promise<Dispatcher.ResponseData> {
        return await this.send({ method: "POST", path, body }, this.agent, signal);
    }

    /** Lets new calls use only new connections; calls that are running keep theirs. */
    replaceConnections(): void {
        const retired = this.agent;
        this.agent = this.createAgent();
        retired.close().catch(() => undefined);
    }

    /** Closes the connections; running calls fail. */
    async close(): Promise<void> {
        this.isClosed = true;
        await this.agent.destroy();
    }

    private async exchange<T>(call: PlatformCall<T>): Promise<Result<PlatformAnswer, PlatformError>> {
        const agent = this.agent;
        const abort = new AbortController();
        const timer = this.options.clock.setTimer(this.options.timeoutMilliseconds, () => {
            abort.abort(new Error(`no answer within ${this.options.timeoutMilliseconds} milliseconds`));
        });
        try {
            const response = await this.send(call, agent, abort.signal);
            return Ok({ status: response.statusCode, body: await response.body.text() });
        }
        catch (error) {
            if (abort.signal.aborted && agent === this.agent && !this.isClosed) {
                this.replaceConnections();
            }
            const cause = abort.signal.aborted ? abort.signal.reason : error;
            return Err(classifyThrownError(cause, call.effect, this.options.address));
        }
        finally {
            timer.cancel();
        }
    }

    private async send(
        call: { method: "GET" | "POST"; path: string; body?: object; },
        agent: Agent,
        signal: AbortSignal,
    ): Promise<Dispatcher.ResponseData> {
        return await request(`http://${this.options.address}${call.path}`, {
            dispatcher: agent,
            method: call.method,
            headers: { "content-type": "application/json" },
            body: call.body === undefined ? undefined : JSON.stringify(call.body),
            signal,
        });
    }

    private parseAnswer<T>(body: string, call: PlatformCall<T>): Result<T, PlatformFailure> {
        try {
            return Ok(call.schema.parse(JSON.parse(body)));
        }
        catch (error) {
            const isRead = call.effect === CallEffect.Read;
            return Err({
                kind: isRead ? PlatformErrorKind.NotDone : PlatformErrorKind.OutcomeUnknown,
                message: `The answer of ${this.options.address}${call.path} has an unknown form (${String(error)}). `
                    + "Check that the address is that of the platform's service.",
            });
        }
    }

    private createAgent(): Agent {
        return new Agent({
            connect: { timeout: Math.ceil(this.options.timeoutMilliseconds * connectShare) },
            headersTimeout: 0,
            bodyTimeout: 0,
        });
    }
}
