import { events } from "../../process/logging/events.ts";
import type { RequestContext } from "../requestContext.ts";
import type { RequestEnvironment } from "../requestEnvironment.ts";
import type { GenerationObserver } from "./generationObserver.ts";

const millisecondsPerSecond = 1_000;

/**
 * Creates an observer that records the generation of one answer as spans, metrics and log events.
 * @param environment - Shared services of the process.
 * @param context - Context of the request.
 * @param gate - Name of the admission gate that admitted the request.
 */
export function createGenerationObserver(
    environment: RequestEnvironment,
    context: RequestContext,
    gate: string,
): GenerationObserver {
    const { metrics, tracing, log, endpoints } = environment;
    return {
        onPassSent: (endpoint, pass) => {
            const { position, layerStart, layerEnd, attempt } = pass;
            const attributes = { endpoint, position, layerStart, layerEnd, attempt };
            const span = tracing.startSpan("pass", { parent: context.span.context, attributes });
            return result => {
                metrics.passesTotal.inc({ outcome: result.ok ? "done" : result.val.kind });
                if (!result.ok) {
                    span.setFailed(result.val.message);
                }
                span.end();
            };
        },
        onAttemptFailed: failure => {
            metrics.rebuildsTotal.inc();
            if (failure.reason === "memory") {
                environment.admission.observeRefusal(gate);
            }
            if (failure.reason === "leaving") {
                endpoints.observeLeavingRefusal(failure.endpoint);
            }
            if (failure.kind === "unreachable" || failure.kind === "notSent") {
                endpoints.observeUnreachable(failure.endpoint);
            }
            log.write(events.chainFailed, {
                request: context.id,
                endpoint: failure.endpoint,
                kind: failure.kind,
                reason: failure.reason,
            });
        },
        onRefusalsEnded: ({ refusals, milliseconds }, isContinued) =>
            log.write(events.answerRefused, {
                request: context.id,
                refusals,
                milliseconds: Math.round(milliseconds),
                isContinued,
            }),
        onMemoryConflict: ({ parkedMilliseconds, ...conflict }) =>
            log.write(events.memoryConflict, {
                request: context.id,
                ...conflict,
                parkedMilliseconds: Math.round(parkedMilliseconds),
            }),
        onRecovered: elapsedMilliseconds =>
            metrics.recoverySeconds.observe(elapsedMilliseconds / millisecondsPerSecond),
        onContextRebuilt: positions => metrics.rebuiltPositionsTotal.inc(positions),
        onStaleResult: reason => metrics.staleResultsTotal.inc({ reason }),
    };
}
