/**
 * Creates the key under which a request is claimed.
 * @param customer - Name of the customer.
 * @param idempotencyKey - The caller's UUID version 7, in either case.
 */
export function createClaimKey(customer: string, idempotencyKey: string): string {
    return `${customer}/${idempotencyKey.toLowerCase()}`;
}
