import { v7 as createUuid } from "uuid";
import type { DeployedNode, LocalDeployment } from "../../scripts/deployment/localDeployment.ts";
import { type DocumentOutcome, sendDocument } from "../../scripts/deployment/sendDocument.ts";

/** A caller of a document service that sends the same request through several nodes. */
export class DocumentCaller {
    /** Idempotency key of the request. */
    readonly key = createUuid();
    private readonly deployment: LocalDeployment;
    private readonly service: string;

    private constructor(deployment: LocalDeployment, service: string) {
        this.deployment = deployment;
        this.service = service;
    }

    /** Creates a caller with a new idempotency key. */
    static create(deployment: LocalDeployment, service = "receipts"): DocumentCaller {
        return new DocumentCaller(deployment, service);
    }

    /** Sends the request through a node. If the connection fails before the response, the outcome is `cut`. */
    async send(
        node: DeployedNode,
    ): Promise<Pick<DocumentOutcome, "outcome" | "isRight" | "isReplayed" | "errorMessage">> {
        try {
            return await sendDocument({
                address: node.callerAddress,
                apiKey: this.deployment.apiKey,
                service: this.service,
                path: "/monthly",
                body: this.key,
                idempotencyKey: this.key,
            });
        }
        catch (error) {
            return { outcome: "cut", isRight: false, isReplayed: false, errorMessage: String(error) };
        }
    }
}
