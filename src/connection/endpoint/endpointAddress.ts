import { parseAddress } from "../../process/settings/parseAddress.ts";
import { Err, Ok, type Result } from "../../result.ts";

declare const validated: unique symbol;

/** Address of an endpoint as `host:port`, with an IP address as the host and a port from 1 to 65535. */
export type EndpointAddress = string & { readonly [validated]: true; };

const invalidAddressMessage = "Write the address as IP:PORT, such as 10.0.0.7:8000 or [fd00::7]:8000.";
/** A port with leading zeros would be a second spelling of the same address. */
const portPattern = /:[1-9]\d*$/;

export const EndpointAddress = {
    /** Parses an address, so that each client of the node can connect to it. Returns what is wrong with it otherwise. */
    parse: (text: string): Result<EndpointAddress, string> =>
        portPattern.test(text) && parseAddress(text) !== undefined
            ? Ok(text as EndpointAddress)
            : Err(invalidAddressMessage),
};
