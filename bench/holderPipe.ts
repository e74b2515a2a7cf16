/** The proxy's holder pipe with default settings. */
import { holderFilters } from "../src/holder/holderFilters.ts";
import { defaultHolderSettings } from "../src/holder/holderSettings.ts";
import { Pipe } from "../src/pipeline/pipe.ts";

export function buildHolderPipe(seed: number): Pipe {
    return new Pipe("holder", holderFilters(defaultHolderSettings, seed));
}
