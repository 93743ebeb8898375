import { createHash } from "node:crypto";
import { parseBody } from "../engine/http/parseBody.ts";
import type { StandinExchange } from "../engine/http/standinExchange.ts";
import { StandinServer } from "../engine/http/standinServer.ts";
import { type DocumentFaults, documentFaults } from "./documentFaults.ts";
import type { DocumentStandinOptions } from "./documentStandinOptions.ts";

/** Record of the calls that a document service has executed. */
interface DocumentRecord {
    total: number;
    /** Number of executions by `idempotency-key` header. Calls without the header use an empty key. */
    executions: Record<string, number>;
}

type CountedFault = "refuseNext" | "resetBeforeRun" | "resetAfterRun";

/** Stand-in for a document service. It answers and counts calls with any method and path. */
export class DocumentStandin {
    private readonly options: DocumentStandinOptions;
    private readonly server: StandinServer;
    private readonly executions = new Map<string, number>();
    private faults: DocumentFaults = {};
    private total = 0;

    private constructor(options: DocumentStandinOptions) {
        this.options = options;
        this.server = StandinServer.create({
            port: options.port,
            hopDelayMilliseconds: 0,
            handle: exchange => this.handle(exchange),
        });
    }

    /** Creates a service. Call `listen` to start it. */
    static create(options: Pick<DocumentStandinOptions, "name"> & Partial<DocumentStandinOptions>): DocumentStandin {
        return new DocumentStandin({ port: 0, delayMilliseconds: 5, ...options });
    }

    /** Starts listening. */
    listen(): Promise<void> {
        return this.server.listen();
    }

    /** Stops the service and closes all its connections. */
    close(): Promise<void> {
        return this.server.close();
    }

    /** Gets the host:port that the service listens on. */
    getAddress(): string {
        return this.server.getAddress();
    }

    /** Sets the faults given by a test; the others keep their values. */
    setFaults(change: DocumentFaults): void {
        this.faults = { ...this.faults, ...change };
        if (change.freezeExistingConnections) {
            this.server.gate.silenceOpenConnections();
        }
    }

    /** Gets the record of executed calls. */
    getRecord(): DocumentRecord {
        return { total: this.total, executions: Object.fromEntries(this.executions) };
    }

    private handle(exchange: StandinExchange): void {
        if (exchange.path === "/standin/record") {
            exchange.sendJson(200, this.getRecord());
        }
        else if (exchange.path === "/standin/faults") {
            this.handleFaults(exchange);
        }
        else if (this.consumeFault("resetBeforeRun")) {
            exchange.reset();
        }
        else if (this.consumeFault("refuseNext")) {
            const error = "The service is busy and did not run the call. Retry later.";
            exchange.sendJson(429, { error }, { "retry-after": "1" });
        }
        else {
            this.execute(exchange);
        }
    }

    private handleFaults(exchange: StandinExchange): void {
        const change = parseBody(exchange.body, documentFaults);
        if (change.err) {
            exchange.sendJson(400, { error: change.val });
            return;
        }
        this.setFaults(change.val);
        exchange.sendJson(200, {});
    }

    /** Counts a call at once and finishes it after the delay, even if the caller has disconnected. */
    private execute(exchange: StandinExchange): void {
        const key = String(exchange.headers["idempotency-key"] ?? "");
        const execution = (this.executions.get(key) ?? 0) + 1;
        this.executions.set(key, execution);
        this.total++;
        const isReset = this.consumeFault("resetAfterRun");
        const answer = {
            service: this.options.name,
            path: exchange.path,
            method: exchange.method,
            bodySha256: createHash("sha256").update(exchange.body).digest("hex"),
            execution,
        };
        const finish = () => isReset ? exchange.reset() : exchange.sendJson(200, answer);
        setTimeout(finish, this.faults.delayMilliseconds ?? this.options.delayMilliseconds);
    }

    /** Gets if a fault applies to the current call, and decrements its remaining count. */
    private consumeFault(kind: CountedFault): boolean {
        const remaining = this.faults[kind] ?? 0;
        if (remaining === 0) {
            return false;
        }
        this.faults[kind] = remaining - 1;
        return true;
    }
}
