/** The one place that adapts the project's `undefined` to the null by which gRPC callbacks mark success. */
import type { sendUnaryData } from "@grpc/grpc-js";

/** Ends a unary call with its response. */
export function respond<Response>(done: sendUnaryData<Response>, response: Response): void {
    // eslint-disable-next-line no-restricted-syntax
    done(null, response);
}
