import { EndpointAddress } from "../../src/connection/endpoint/endpointAddress.ts";

/** Converts a valid address. */
export function toEndpointAddress(text: string): EndpointAddress {
    return EndpointAddress.parse(text).unwrap();
}
