import { budgets } from "./budgets.ts";
import { designSize } from "./designSize.ts";
import type { SlopeTable } from "./slopeTable.ts";
import type { Total } from "./total.ts";

const { nodes, runners, customers } = designSize;
const shards = 4;

/** Computes the load that all nodes together put on the platform's service. */
export function computeStoreTotals(slopes: SlopeTable): Total[] {
    const role = "platform's service, all nodes";
    const textKibibytes = (slopes.getValue("configuration.customer.bytes", customers)
        + runners * slopes.getSlope("configuration.runner.bytes")) / 1_024;
    const reads = slopes.getValue("store.reads", nodes);
    const readBytes = reads * slopes.getValue("configuration.readBytes", textKibibytes) * 1_024;
    const listBytes = nodes * slopes.getValue("vmList.bytes", nodes + runners);
    const orderCalls = slopes.getValue("orders.store", runners);
    const storedBytes = slopes.getValue("configuration.customer.stored", customers)
        + runners * slopes.getSlope("configuration.runner.stored");
    const writes = slopes.getValue("claims.writesByShards", shards) + orderCalls;
    const watches = slopes.getValue("store.watches", nodes);
    return [
        {
            role,
            quantity: "writes, claims and orders",
            value: writes,
            unit: "1/s",
            budget: budgets.storeWritesPerSecond,
        },
        {
            role,
            quantity: "backstop reads and watches",
            value: reads + watches,
            unit: "1/s",
            budget: budgets.storeReadsPerSecond,
        },
        { role, quantity: "bytes of the backstop reads", value: readBytes / 1e6, unit: "MB/s" },
        { role, quantity: "readings of the VM list", value: nodes, unit: "1/s", budget: budgets.storeReadsPerSecond },
        { role, quantity: "bytes of the VM list", value: listBytes / 1e6, unit: "MB/s" },
        { role, quantity: "text, one entry a line", value: textKibibytes * 1.024, unit: "KB", budget: 1_000 },
        { role, quantity: "stored text, indented by 4", value: storedBytes / 1_000, unit: "KB", budget: 1_000 },
        { role: "order holder", quantity: "processor", value: slopes.getValue("orders.round", runners), unit: "ms/s" },
        {
            role: "operator command",
            quantity: "status",
            value: slopes.getValue("status.bytes", runners) / 1_000,
            unit: "KB",
        },
    ];
}
