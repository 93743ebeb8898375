import findMyWay from "find-my-way";
import type { z } from "zod";
import type { EngineStandin } from "./engineStandin.ts";
import { parseBody } from "./http/parseBody.ts";
import type { StandinExchange } from "./http/standinExchange.ts";
import { messageSchemas } from "./messageSchemas.ts";

type Handler = (exchange: StandinExchange) => void;

/** Creates the request handler for all paths of an engine. */
export function createEngineRoutes(engine: EngineStandin): Handler {
    const routes = findMyWay();
    const add = (method: "GET" | "POST", path: string, handler: Handler) => {
        routes.on(method, path, () => {}, handler);
    };
    add(
        "POST",
        "/v1/passes",
        withBody(messageSchemas.passBatch, (batch, exchange) => engine.addBatch(batch, exchange)),
    );
    add(
        "POST",
        "/v1/cancel",
        withBody(messageSchemas.cancelOrder, ({ request, attempt }, exchange) => {
            engine.sequences.cancel(request, attempt);
            exchange.sendJson(200, {});
        }),
    );
    add(
        "POST",
        "/v1/orders",
        withBody(messageSchemas.engineOrder, (order, exchange) => {
            sendOutcome(exchange, engine.orders.execute(order));
        }),
    );
    add(
        "POST",
        "/v1/cache/export",
        withBody(messageSchemas.cancelOrder, ({ request, attempt }, exchange) => {
            sendOutcome(exchange, engine.cacheTransfer.exportCache(request, attempt));
        }),
    );
    add(
        "POST",
        "/v1/cache/import",
        withBody(messageSchemas.cacheBlob, (blob, exchange) => {
            sendOutcome(exchange, engine.cacheTransfer.importCache(blob));
        }),
    );
    add("GET", "/v1/status", exchange => exchange.sendJson(200, engine.getStatus()));
    add("GET", "/v1/health", exchange => exchange.sendJson(200, {}));
    add("GET", "/v1/cache-events", exchange => {
        const after = Number(exchange.query.get("after") ?? 0);
        exchange.sendJson(200, { events: engine.cacheEvents.getEvents(after) });
    });
    add("GET", "/standin/record", exchange => {
        const request = exchange.query.get("request");
        exchange.sendJson(200, request === null ? engine.record.getAllRuns() : engine.record.getRuns(request));
    });
    add("GET", "/standin/record/summary", exchange => exchange.sendJson(200, engine.record.summary));
    add(
        "POST",
        "/standin/faults",
        withBody(messageSchemas.faults, (change, exchange) => {
            engine.setFaults(change);
            exchange.sendJson(200, {});
        }),
    );
    return exchange => {
        const route = routes.find(exchange.method as "GET", exchange.path);
        if (!route) {
            exchange.sendJson(404, { error: "Unknown path. See the engine protocol." });
            return;
        }
        (route.store as Handler)(exchange);
    };
}

/** Wraps a handler so that it gets the parsed body. An invalid body gets status 400. */
function withBody<T>(schema: z.ZodType<T>, handler: (body: T, exchange: StandinExchange) => void): Handler {
    return exchange => {
        const body = parseBody(exchange.body, schema);
        if (body.err) {
            exchange.sendJson(400, { error: body.val });
            return;
        }
        handler(body.val, exchange);
    };
}

/** The parts of a `Result` that {@link sendOutcome} uses. */
type Outcome =
    | { err: false; val: unknown; }
    | { err: true; val: { status: number; reason?: string; message: string; }; };

function sendOutcome(exchange: StandinExchange, outcome: Outcome): void {
    if (outcome.err) {
        const { status, reason, message } = outcome.val;
        exchange.sendJson(status, { error: message, reason });
        return;
    }
    exchange.sendJson(200, outcome.val ?? {});
}
