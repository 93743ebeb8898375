import * as z from "zod";
import { EndpointAddress } from "./endpointAddress.ts";

/** Schema of an endpoint's address. */
export const endpointAddressSchema = z.string().transform((text, context) => {
    const address = EndpointAddress.parse(text);
    if (address.err) {
        context.addIssue(address.val);
        return z.NEVER;
    }
    return address.val;
});
