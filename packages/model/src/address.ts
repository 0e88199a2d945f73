/** Addresses that entry VMs connect to. */

import { isIPv4 } from "node:net";
import { maxPort } from "./value-parser.js";

/** Returns whether a text is an IPv4 address and a port, "IP:port", that can be connected to. */
export const isAddress = (text: string): boolean => {
    const [, ip = "", port = ""] = /^([\d.]+):(\d+)$/.exec(text) ?? [];
    return isIPv4(ip) && Number(port) > 0 && Number(port) <= maxPort;
};
