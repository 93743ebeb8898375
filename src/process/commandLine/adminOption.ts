import { parseAddress } from "../settings/parseAddress.ts";
import { UsageError } from "./usageError.ts";

/** Option `--admin`: addresses of the admin listeners of nodes. */
export const adminOption = {
    type: "string",
    requiresArg: true,
    describe: "Addresses of the admin listeners of nodes, as IP:PORT[,IP:PORT...].",
    coerce: (texts: string | string[] = []): string[] => {
        const addresses = [texts].flat().flatMap(text => text.split(",")).map(address => address.trim());
        for (const address of addresses) {
            if (parseAddress(address) === undefined) {
                throw new UsageError(`"${address}" is not a valid address; use IP:PORT, such as 127.0.0.1:9400.`);
            }
        }
        return addresses;
    },
} as const;
