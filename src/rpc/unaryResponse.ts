/** Adapts the callback convention of the gRPC library, which marks success with null. */
import type { sendUnaryData } from "@grpc/grpc-js";

/** Ends a unary call with its response. */
export function respond<Response>(done: sendUnaryData<Response>, response: Response): void {
    // eslint-disable-next-line no-restricted-syntax
    done(null, response);
}
