import type { RequestContext } from "../../request/requestContext.ts";
import type { RequestError } from "../../request/requestError.ts";
import { Ok, type Result } from "../../result.ts";
import type { AnswerWriter } from "./answerWriter.ts";

/**
 * Answers `GET /v1/models` with the model services of the configuration.
 * @param context - Context of the request.
 * @param writer - Writer of the final answer.
 */
export function handleModels(context: RequestContext, writer: AnswerWriter): Promise<Result<void, RequestError>> {
    const data: object[] = [];
    for (const [id, service] of Object.entries(context.version.configuration.services)) {
        if (service.kind === "model") {
            data.push({ id, object: "model", owned_by: "foxlead" });
        }
    }
    writer.sendResponse(200, "application/json", JSON.stringify({ object: "list", data }));
    return Promise.resolve(Ok.EMPTY);
}
