import type { SeededRandom } from "../seededRandom.ts";
import type { CallContent } from "./callContent.ts";
import type { CallRecord } from "./callRecord.ts";
import { type Customer, customers } from "./customers.ts";
import type { SoakNode } from "./soakNode.ts";

/** Longer than the timeout of each route. */
const deadlineMilliseconds = 30_000;

/** Creates the record of a request to a node that has not been sent yet, and its headers. */
export function createCallRecord(
    { customer: chosen, ...content }: CallContent,
    node: SoakNode,
    random: SeededRandom,
): { record: CallRecord; headers: Readonly<Record<string, string>>; } {
    const { name: customer, apiKey } = chosen ?? chooseCustomer(random);
    const record: CallRecord = {
        ...content,
        customer,
        node: node.name,
        sentAt: Date.now(),
        endedAt: 0,
        leftAt: undefined,
        status: 0,
        signature: undefined,
        text: "",
        isComplete: false,
        reason: "",
    };
    const headers = {
        host: "one.example",
        "request-id": record.id,
        "request-deadline-ms": String(deadlineMilliseconds),
        authorization: `Bearer ${apiKey}`,
        ...(record.role === undefined ? {} : { "prompt-prefix": record.role.prefix }),
    };
    return { record, headers };
}

function chooseCustomer(random: SeededRandom): Customer {
    const [large, ...others] = customers;
    return random.isHit(large!.share) ? large! : random.choose(others)!;
}
