/** For specs that do not look at the traffic between peers. */
import type { PeerTrafficObserver } from "../../telemetry/loadLog.ts";

export const noopTraffic: PeerTrafficObserver = {
    recordSent: () => undefined,
    recordReceived: () => undefined,
};
