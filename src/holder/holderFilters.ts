/** The order of the filters of the holder pipe. */
import type { Filter } from "../pipeline/filter.ts";
import { SeededRandom } from "../pipeline/seededRandom.ts";
import { AcquireFilter } from "./acquire.ts";
import { ConfirmFilter } from "./confirm.ts";
import { ExecuteFilter } from "./execute.ts";
import { FloorsFilter } from "./floors.ts";
import { FreshnessFilter } from "./freshness.ts";
import type { HolderSettings } from "./holderSettings.ts";
import { MonitorFilter } from "./monitor.ts";
import { OrdersFilter } from "./orders.ts";

/** The filters for one `Pipe`; the two numbers after `seed` feed the filters that draw random numbers. */
// The element type is erased for the same reason as in Pipe: each filter narrows Message to its own kinds.
// eslint-disable-next-line @typescript-eslint/no-explicit-any
export function holderFilters(settings: HolderSettings, seed: number): readonly Filter<any, any>[] {
    return [
        new MonitorFilter({ settings }),
        new OrdersFilter({ settings }),
        new FreshnessFilter({ settings }),
        new AcquireFilter({ settings, random: new SeededRandom(seed + 1) }),
        new ExecuteFilter({ settings, random: new SeededRandom(seed + 2) }),
        new FloorsFilter({ settings }),
        new ConfirmFilter({ settings }),
    ];
}
