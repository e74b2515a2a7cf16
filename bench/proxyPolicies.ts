/** The product's policy for slots and reads and the baselines it is compared with. */
import type { AdmittedRequest } from "../src/request/requestMessages.ts";

export interface ProxyPolicy {
    readonly name: string;
    /** What the entry instance is given in place of a statement that was admitted at `admittedMs`. */
    prepare(request: AdmittedRequest, admittedAtMs: number): AdmittedRequest;
}

export class ProductSlots implements ProxyPolicy {
    readonly name = "product";

    prepare(request: AdmittedRequest): AdmittedRequest {
        return request;
    }
}

/** Every read asks for current data, which only the primary has. */
export class ReadsOnPrimary implements ProxyPolicy {
    readonly name = "reads on the primary";

    prepare(request: AdmittedRequest): AdmittedRequest {
        return { ...request, targets: { ...request.targets, maximumAgeMs: 0 } };
    }
}

/** All statements count as one workspace and one class, so that slots go in order of arrival. */
export class FirstComeFirstServed implements ProxyPolicy {
    readonly name = "first come first served";

    prepare(request: AdmittedRequest): AdmittedRequest {
        return { ...request, workspace: "all", workClass: "all" };
    }
}

// Enough for a floor question and the way to a holder in another data centre, not for a wait behind a statement.
const networkTimeMs = 20;

/** A statement that finds no free slot is refused. */
export class NoSlotWaiting implements ProxyPolicy {
    readonly name = "no waiting for slots";

    prepare(request: AdmittedRequest, admittedAtMs: number): AdmittedRequest {
        return { ...request, deadlineMs: Math.min(request.deadlineMs, admittedAtMs + networkTimeMs) };
    }
}

export const proxyPolicies: readonly ProxyPolicy[] = [
    new ProductSlots(),
    new ReadsOnPrimary(),
    new FirstComeFirstServed(),
    new NoSlotWaiting(),
];
