/** The registry of fuzz models. */

import { ConfigFuzzModel } from "./fuzz-config.js";
import { OnceFuzzModel } from "./fuzz-once.js";
import { probingModel } from "./fuzz-probing.js";
import { membershipModel } from "./fuzz-membership.js";
import type { FuzzModel } from "./fuzz-model.js";

/** All models that the fuzz command runs. */
export const fuzzModels: readonly FuzzModel[] = [
    new ConfigFuzzModel(),
    new OnceFuzzModel(),
    membershipModel(),
    probingModel(),
];
