import { parseAddress } from "../../settings/parseAddress.ts";
import { UsageError } from "../usageError.ts";

/** The option `--store`: the platform's key-value service. */
export const storeOption = {
    type: "string",
    demandOption: true,
    requiresArg: true,
    describe: "Address of the platform's key-value service, as IP:PORT.",
    coerce: (address: string): string => {
        if (!parseAddress(address)?.port) {
            throw new UsageError(`"${address}" is no address; write IP:PORT, such as 127.0.0.1:2379.`);
        }
        return address;
    },
} as const;
