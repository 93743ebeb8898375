import { parseAddress } from "../../settings/parseAddress.ts";
import { UsageError } from "../usageError.ts";

/** Option `--store`: address of the platform's key-value service. */
export const storeOption = {
    type: "string",
    demandOption: true,
    requiresArg: true,
    describe: "Address of the platform's key-value service, as IP:PORT.",
    coerce: (address: string): string => {
        if (!parseAddress(address)?.port) {
            throw new UsageError(`"${address}" is not a valid address; use IP:PORT, such as 127.0.0.1:2379.`);
        }
        return address;
    },
} as const;
