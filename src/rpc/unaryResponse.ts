/** Adapts the project rule against `null` to gRPC callbacks, which take `null` as the error of a successful call. */
import type { sendUnaryData } from "@grpc/grpc-js";

/** Completes a unary call with its response. */
export function respond<Response>(callback: sendUnaryData<Response>, response: Response): void {
    // eslint-disable-next-line no-restricted-syntax
    callback(null, response);
}
