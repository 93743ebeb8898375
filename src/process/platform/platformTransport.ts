import { Agent, type Dispatcher, request } from "undici";
import type { z } from "zod";
import { readLimitedText } from "../../connection/readLimitedText.ts";
import { Err, Ok, type Result } from "../../result.ts";
import type { Clock } from "../clock.ts";
import { CallEffect } from "./callEffect.ts";
import { classifyRefusal } from "./classifyRefusal.ts";
import { classifyThrownError } from "./classifyThrownError.ts";
import { type PlatformError, PlatformErrorKind } from "./platformError.ts";
import type { PlatformFailure } from "./platformFailure.ts";

/** Fraction of a call's timeout that connecting may take, so that a connect timeout can be distinguished from a lost response. */
const connectTimeoutFraction = 0.5;
const okStatus = 200;
/** Much larger than a value with its envelope, or than the list of VMs. */
const maximumResponseBytes = 16 * 1024 * 1024;

interface PlatformTransportOptions {
    /** Address of the service as `host:port`. */
    address: string;
    /** Timeout of a call, in milliseconds. */
    timeoutMilliseconds: number;
    clock: Clock;
}

interface PlatformCall<T> {
    method: "GET" | "POST";
    path: string;
    /** Body to send as JSON. */
    body?: object;
    effect: CallEffect;
    /** Schema of the response's body. */
    schema: z.ZodType<T>;
}

interface PlatformResponse {
    status: number;
    body: string;
}

/**
 * HTTP client of the platform. After a timeout it opens new connections for further calls, because the existing ones may all have
 * stopped responding.
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
     * Creates a transport. It connects on the first call.
     * @param options - Address, timeout and clock.
     */
    static create(options: PlatformTransportOptions): PlatformTransport {
        return new PlatformTransport(options);
    }

    /**
     * Makes one call and reads its complete response.
     * @param call - Request to send and schema of the response.
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
     * Makes a call with a streamed response, which has no timeout.
     * @param path - Path of the call.
     * @param body - Body to send as JSON.
     * @param signal - Aborts the call and destroys its connection.
     * @throws The error of undici, or the signal's reason.
     */
    async openStream(path: string, body: object, signal: AbortSignal): Promise<Dispatcher.ResponseData> {
        return await this.send({ method: "POST", path, body }, this.agent, signal);
    }

    /** Makes new calls use new connections. Calls in flight keep theirs. */
    replaceConnections(): void {
        const previousAgent = this.agent;
        this.agent = this.createAgent();
        previousAgent.close().catch(() => undefined);
    }

    /** Closes the connections. Calls in flight fail. */
    async close(): Promise<void> {
        this.isClosed = true;
        await this.agent.destroy();
    }

    private async exchange<T>(call: PlatformCall<T>): Promise<Result<PlatformResponse, PlatformError>> {
        const agent = this.agent;
        const abort = new AbortController();
        const timer = this.options.clock.setTimer(this.options.timeoutMilliseconds, () => {
            abort.abort(new Error(`no response within ${this.options.timeoutMilliseconds} milliseconds`));
        });
        try {
            const response = await this.send(call, agent, abort.signal);
            return Ok({
                status: response.statusCode,
                body: await readLimitedText(response.body, maximumResponseBytes),
            });
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
                message:
                    `The response of ${this.options.address}${call.path} has an unexpected format (${String(error)}). `
                    + "Check that the address belongs to the platform's service.",
            });
        }
    }

    private createAgent(): Agent {
        return new Agent({
            connect: { timeout: Math.ceil(this.options.timeoutMilliseconds * connectTimeoutFraction) },
            headersTimeout: 0,
            bodyTimeout: 0,
        });
    }
}
