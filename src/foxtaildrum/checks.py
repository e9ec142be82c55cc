"""Validators generated from schema.json with scripts/generate.sh."""

import re

from .exceptions import SchemaMismatchError

REGEX_PATTERNS = {
    "^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$": re.compile("^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}\\Z"),
    "^[!-~]{1,256}$": re.compile("^[!-~]{1,256}\\Z"),
    "^[!-~]*$": re.compile("^[!-~]*\\Z"),
    "^/": re.compile("^/"),
    "^[A-Z]{1,32}$": re.compile("^[A-Z]{1,32}\\Z"),
    "^((22[0-3]|2[01][0-9]|1[0-9]{2}|[1-9]?[1-9]|[1-9]0)(\\.(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])){3}|\\[[0-9A-Fa-f:.]{2,45}\\]):(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}|[1-9][0-9]{0,3})$": re.compile(
        "^((22[0-3]|2[01][0-9]|1[0-9]{2}|[1-9]?[1-9]|[1-9]0)(\\.(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])){3}|\\[[0-9A-Fa-f:.]{2,45}\\]):(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}|[1-9][0-9]{0,3})\\Z"
    ),
    "^[^\\u0000-\\u001f\\u007f\\ud800-\\udfff]*$": re.compile(
        "^[^\\u0000-\\u001f\\u007f\\ud800-\\udfff]*\\Z"
    ),
    "^[A-Za-z0-9_.-]{1,63}$": re.compile("^[A-Za-z0-9_.-]{1,63}\\Z"),
    "^.+:[0-9]{1,5}$": re.compile("^.+:[0-9]{1,5}\\Z"),
    "^(.+:[0-9]{1,5})?$": re.compile("^(.+:[0-9]{1,5})?\\Z"),
    "^$|^[^=,]+=[^=,]+:[0-9]{1,5}(,[^=,]+=[^=,]+:[0-9]{1,5})*$": re.compile(
        "^\\Z|^[^=,]+=[^=,]+:[0-9]{1,5}(,[^=,]+=[^=,]+:[0-9]{1,5})*\\Z"
    ),
    "^$|^[A-Za-z0-9_.-]{1,63}(,[A-Za-z0-9_.-]{1,63})*$": re.compile(
        "^\\Z|^[A-Za-z0-9_.-]{1,63}(,[A-Za-z0-9_.-]{1,63})*\\Z"
    ),
}


def check_limits(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise SchemaMismatchError
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data_keys = set(data.keys())
        if "max_header_bytes" in data_keys:
            data_keys.remove("max_header_bytes")
            data__maxheaderbytes = data["max_header_bytes"]
            if (
                not isinstance(data__maxheaderbytes, (int))
                and not (
                    isinstance(data__maxheaderbytes, float)
                    and data__maxheaderbytes.is_integer()
                )
                or isinstance(data__maxheaderbytes, bool)
            ):
                raise SchemaMismatchError
            if isinstance(data__maxheaderbytes, (int, float)) and not isinstance(
                data__maxheaderbytes, bool
            ):
                if data__maxheaderbytes < 1024:
                    raise SchemaMismatchError
                if data__maxheaderbytes > 1048576:
                    raise SchemaMismatchError
        if "max_body_bytes" in data_keys:
            data_keys.remove("max_body_bytes")
            data__maxbodybytes = data["max_body_bytes"]
            if (
                not isinstance(data__maxbodybytes, (int))
                and not (
                    isinstance(data__maxbodybytes, float) and data__maxbodybytes.is_integer()
                )
                or isinstance(data__maxbodybytes, bool)
            ):
                raise SchemaMismatchError
            if isinstance(data__maxbodybytes, (int, float)) and not isinstance(
                data__maxbodybytes, bool
            ):
                if data__maxbodybytes < 0:
                    raise SchemaMismatchError
                if data__maxbodybytes > 1099511627776:
                    raise SchemaMismatchError
        if "header_timeout_ms" in data_keys:
            data_keys.remove("header_timeout_ms")
            data__headertimeoutms = data["header_timeout_ms"]
            if not isinstance(data__headertimeoutms, (int, float)) or isinstance(
                data__headertimeoutms, bool
            ):
                raise SchemaMismatchError
            if isinstance(data__headertimeoutms, (int, float)) and not isinstance(
                data__headertimeoutms, bool
            ):
                if data__headertimeoutms < 1:
                    raise SchemaMismatchError
                if data__headertimeoutms > 3600000:
                    raise SchemaMismatchError
        if "idle_timeout_ms" in data_keys:
            data_keys.remove("idle_timeout_ms")
            data__idletimeoutms = data["idle_timeout_ms"]
            if not isinstance(data__idletimeoutms, (int, float)) or isinstance(
                data__idletimeoutms, bool
            ):
                raise SchemaMismatchError
            if isinstance(data__idletimeoutms, (int, float)) and not isinstance(
                data__idletimeoutms, bool
            ):
                if data__idletimeoutms < 1:
                    raise SchemaMismatchError
                if data__idletimeoutms > 3600000:
                    raise SchemaMismatchError
        if data_keys:
            raise SchemaMismatchError
    return data


def check_organisation(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise SchemaMismatchError
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(["name"]) - data.keys()
        if data__missing_keys:
            raise SchemaMismatchError
        data_keys = set(data.keys())
        if "name" in data_keys:
            data_keys.remove("name")
            data__name = data["name"]
            if not isinstance(data__name, (str)):
                raise SchemaMismatchError
            if isinstance(data__name, str):
                if not REGEX_PATTERNS["^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$"].search(data__name):
                    raise SchemaMismatchError
        if "keys" in data_keys:
            data_keys.remove("keys")
            data__keys = data["keys"]
            if not isinstance(data__keys, (list, tuple)):
                raise SchemaMismatchError
            data__keys_is_list = isinstance(data__keys, (list, tuple))
            if data__keys_is_list:
                data__keys_len = len(data__keys)
                if data__keys_len > 10000:
                    raise SchemaMismatchError
                for data__keys_x, data__keys_item in enumerate(data__keys):
                    if not isinstance(data__keys_item, (str)):
                        raise SchemaMismatchError
                    if isinstance(data__keys_item, str):
                        if not REGEX_PATTERNS["^[!-~]{1,256}$"].search(data__keys_item):
                            raise SchemaMismatchError
        if "priority" in data_keys:
            data_keys.remove("priority")
            data__priority = data["priority"]
            if (
                not isinstance(data__priority, (int, type(None)))
                and not (isinstance(data__priority, float) and data__priority.is_integer())
                or isinstance(data__priority, bool)
            ):
                raise SchemaMismatchError
            if isinstance(data__priority, (int, float)) and not isinstance(
                data__priority, bool
            ):
                if data__priority < 0:
                    raise SchemaMismatchError
                if data__priority > 1000000:
                    raise SchemaMismatchError
        if "rate_per_s" in data_keys:
            data_keys.remove("rate_per_s")
            data__ratepers = data["rate_per_s"]
            if not isinstance(data__ratepers, (int, float)) or isinstance(data__ratepers, bool):
                raise SchemaMismatchError
            if isinstance(data__ratepers, (int, float)) and not isinstance(
                data__ratepers, bool
            ):
                if data__ratepers < 0:
                    raise SchemaMismatchError
                if data__ratepers > 1000000000:
                    raise SchemaMismatchError
        if "burst" in data_keys:
            data_keys.remove("burst")
            data__burst = data["burst"]
            if not isinstance(data__burst, (int, float)) or isinstance(data__burst, bool):
                raise SchemaMismatchError
            if isinstance(data__burst, (int, float)) and not isinstance(data__burst, bool):
                if data__burst < 0:
                    raise SchemaMismatchError
                if data__burst > 1000000000:
                    raise SchemaMismatchError
        if data_keys:
            raise SchemaMismatchError
    return data


def check_pool(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise SchemaMismatchError
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(["name"]) - data.keys()
        if data__missing_keys:
            raise SchemaMismatchError
        data_keys = set(data.keys())
        if "name" in data_keys:
            data_keys.remove("name")
            data__name = data["name"]
            if not isinstance(data__name, (str)):
                raise SchemaMismatchError
            if isinstance(data__name, str):
                if not REGEX_PATTERNS["^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$"].search(data__name):
                    raise SchemaMismatchError
        if "policy" in data_keys:
            data_keys.remove("policy")
            data__policy = data["policy"]
            if not isinstance(data__policy, (str)):
                raise SchemaMismatchError
        if "slots_per_upstream" in data_keys:
            data_keys.remove("slots_per_upstream")
            data__slotsperupstream = data["slots_per_upstream"]
            if (
                not isinstance(data__slotsperupstream, (int))
                and not (
                    isinstance(data__slotsperupstream, float)
                    and data__slotsperupstream.is_integer()
                )
                or isinstance(data__slotsperupstream, bool)
            ):
                raise SchemaMismatchError
            if isinstance(data__slotsperupstream, (int, float)) and not isinstance(
                data__slotsperupstream, bool
            ):
                if data__slotsperupstream < 1:
                    raise SchemaMismatchError
                if data__slotsperupstream > 100000:
                    raise SchemaMismatchError
        if "measuring_budget_ratio" in data_keys:
            data_keys.remove("measuring_budget_ratio")
            data__measuringbudgetratio = data["measuring_budget_ratio"]
            if not isinstance(data__measuringbudgetratio, (int, float)) or isinstance(
                data__measuringbudgetratio, bool
            ):
                raise SchemaMismatchError
            if isinstance(data__measuringbudgetratio, (int, float)) and not isinstance(
                data__measuringbudgetratio, bool
            ):
                if data__measuringbudgetratio < 0:
                    raise SchemaMismatchError
                if data__measuringbudgetratio > 1:
                    raise SchemaMismatchError
        if "retry_budget_ratio" in data_keys:
            data_keys.remove("retry_budget_ratio")
            data__retrybudgetratio = data["retry_budget_ratio"]
            if not isinstance(data__retrybudgetratio, (int, float, type(None))) or isinstance(
                data__retrybudgetratio, bool
            ):
                raise SchemaMismatchError
            if isinstance(data__retrybudgetratio, (int, float)) and not isinstance(
                data__retrybudgetratio, bool
            ):
                if data__retrybudgetratio < 0:
                    raise SchemaMismatchError
                if data__retrybudgetratio > 1:
                    raise SchemaMismatchError
        if "load_path" in data_keys:
            data_keys.remove("load_path")
            data__loadpath = data["load_path"]
            if not isinstance(data__loadpath, (str)):
                raise SchemaMismatchError
            if isinstance(data__loadpath, str):
                data__loadpath_len = len(data__loadpath)
                if data__loadpath_len > 2048:
                    raise SchemaMismatchError
                if not REGEX_PATTERNS["^[!-~]*$"].search(data__loadpath):
                    raise SchemaMismatchError
        if "health_path" in data_keys:
            data_keys.remove("health_path")
            data__healthpath = data["health_path"]
            if not isinstance(data__healthpath, (str)):
                raise SchemaMismatchError
            if isinstance(data__healthpath, str):
                data__healthpath_len = len(data__healthpath)
                if data__healthpath_len > 2048:
                    raise SchemaMismatchError
                if not REGEX_PATTERNS["^[!-~]*$"].search(data__healthpath):
                    raise SchemaMismatchError
        if "max_conns" in data_keys:
            data_keys.remove("max_conns")
            data__maxconns = data["max_conns"]
            if (
                not isinstance(data__maxconns, (int))
                and not (isinstance(data__maxconns, float) and data__maxconns.is_integer())
                or isinstance(data__maxconns, bool)
            ):
                raise SchemaMismatchError
            if isinstance(data__maxconns, (int, float)) and not isinstance(
                data__maxconns, bool
            ):
                if data__maxconns < 0:
                    raise SchemaMismatchError
                if data__maxconns > 1000000:
                    raise SchemaMismatchError
        if "protocol" in data_keys:
            data_keys.remove("protocol")
            data__protocol = data["protocol"]
            if not isinstance(data__protocol, (str)):
                raise SchemaMismatchError
            if not (isinstance(data__protocol, str) and data__protocol == "h1"):
                raise SchemaMismatchError
        if "tls" in data_keys:
            data_keys.remove("tls")
            data__tls = data["tls"]
            if not isinstance(data__tls, (bool)):
                raise SchemaMismatchError
            if not (isinstance(data__tls, bool) and data__tls is False):
                raise SchemaMismatchError
        if "warmup_s" in data_keys:
            data_keys.remove("warmup_s")
            data__warmups = data["warmup_s"]
            if not isinstance(data__warmups, (int, float)) or isinstance(data__warmups, bool):
                raise SchemaMismatchError
            if isinstance(data__warmups, (int, float)) and not isinstance(data__warmups, bool):
                if data__warmups < 0:
                    raise SchemaMismatchError
                if data__warmups > 3600:
                    raise SchemaMismatchError
        if "warmup_per_s" in data_keys:
            data_keys.remove("warmup_per_s")
            data__warmuppers = data["warmup_per_s"]
            if not isinstance(data__warmuppers, (int, float)) or isinstance(
                data__warmuppers, bool
            ):
                raise SchemaMismatchError
            if isinstance(data__warmuppers, (int, float)) and not isinstance(
                data__warmuppers, bool
            ):
                if data__warmuppers < 0:
                    raise SchemaMismatchError
                if data__warmuppers > 1000000:
                    raise SchemaMismatchError
        if data_keys:
            raise SchemaMismatchError
    return data


def check_route(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise SchemaMismatchError
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(["name"]) - data.keys()
        if data__missing_keys:
            raise SchemaMismatchError
        data_keys = set(data.keys())
        if "name" in data_keys:
            data_keys.remove("name")
            data__name = data["name"]
            if not isinstance(data__name, (str)):
                raise SchemaMismatchError
            if isinstance(data__name, str):
                if not REGEX_PATTERNS["^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$"].search(data__name):
                    raise SchemaMismatchError
        if "pool" in data_keys:
            data_keys.remove("pool")
            data__pool = data["pool"]
            if not isinstance(data__pool, (str)):
                raise SchemaMismatchError
        if "split" in data_keys:
            data_keys.remove("split")
            data__split = data["split"]
            if not isinstance(data__split, (list, tuple)):
                raise SchemaMismatchError
            data__split_is_list = isinstance(data__split, (list, tuple))
            if data__split_is_list:
                data__split_len = len(data__split)
                for data__split_x, data__split_item in enumerate(data__split):
                    check_share(
                        data__split_item,
                        custom_formats,
                        (name_prefix or "data") + ".split[{data__split_x}]".format(**locals()),
                    )
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise SchemaMismatchError
            if not (
                isinstance(data__type, str)
                and data__type == ""
                or isinstance(data__type, str)
                and data__type == "safe"
                or isinstance(data__type, str)
                and data__type == "unsafe"
                or isinstance(data__type, str)
                and data__type == "download"
            ):
                raise SchemaMismatchError
        if "max_attempts" in data_keys:
            data_keys.remove("max_attempts")
            data__maxattempts = data["max_attempts"]
            if (
                not isinstance(data__maxattempts, (int))
                and not (
                    isinstance(data__maxattempts, float) and data__maxattempts.is_integer()
                )
                or isinstance(data__maxattempts, bool)
            ):
                raise SchemaMismatchError
            if isinstance(data__maxattempts, (int, float)) and not isinstance(
                data__maxattempts, bool
            ):
                if data__maxattempts < 1:
                    raise SchemaMismatchError
                if data__maxattempts > 100:
                    raise SchemaMismatchError
        if "priority" in data_keys:
            data_keys.remove("priority")
            data__priority = data["priority"]
            if (
                not isinstance(data__priority, (int))
                and not (isinstance(data__priority, float) and data__priority.is_integer())
                or isinstance(data__priority, bool)
            ):
                raise SchemaMismatchError
            if isinstance(data__priority, (int, float)) and not isinstance(
                data__priority, bool
            ):
                if data__priority < 0:
                    raise SchemaMismatchError
                if data__priority > 100:
                    raise SchemaMismatchError
        if "host" in data_keys:
            data_keys.remove("host")
            data__host = data["host"]
            if not isinstance(data__host, (str)):
                raise SchemaMismatchError
            if isinstance(data__host, str):
                data__host_len = len(data__host)
                if data__host_len > 253:
                    raise SchemaMismatchError
        if "path_prefix" in data_keys:
            data_keys.remove("path_prefix")
            data__pathprefix = data["path_prefix"]
            if not isinstance(data__pathprefix, (str)):
                raise SchemaMismatchError
            if isinstance(data__pathprefix, str):
                data__pathprefix_len = len(data__pathprefix)
                if data__pathprefix_len > 2048:
                    raise SchemaMismatchError
                if not REGEX_PATTERNS["^/"].search(data__pathprefix):
                    raise SchemaMismatchError
        if "methods" in data_keys:
            data_keys.remove("methods")
            data__methods = data["methods"]
            if not isinstance(data__methods, (list, tuple)):
                raise SchemaMismatchError
            data__methods_is_list = isinstance(data__methods, (list, tuple))
            if data__methods_is_list:
                data__methods_len = len(data__methods)
                for data__methods_x, data__methods_item in enumerate(data__methods):
                    if not isinstance(data__methods_item, (str)):
                        raise SchemaMismatchError
                    if isinstance(data__methods_item, str):
                        if not REGEX_PATTERNS["^[A-Z]{1,32}$"].search(data__methods_item):
                            raise SchemaMismatchError
        if "timeout_ms" in data_keys:
            data_keys.remove("timeout_ms")
            data__timeoutms = data["timeout_ms"]
            if not isinstance(data__timeoutms, (int, float)) or isinstance(
                data__timeoutms, bool
            ):
                raise SchemaMismatchError
            if isinstance(data__timeoutms, (int, float)) and not isinstance(
                data__timeoutms, bool
            ):
                if data__timeoutms < 1:
                    raise SchemaMismatchError
                if data__timeoutms > 600000:
                    raise SchemaMismatchError
        if "idempotent" in data_keys:
            data_keys.remove("idempotent")
            data__idempotent = data["idempotent"]
            if not isinstance(data__idempotent, (bool, type(None))):
                raise SchemaMismatchError
        if "objective_latency_ms" in data_keys:
            data_keys.remove("objective_latency_ms")
            data__objectivelatencyms = data["objective_latency_ms"]
            if not isinstance(data__objectivelatencyms, (int, float)) or isinstance(
                data__objectivelatencyms, bool
            ):
                raise SchemaMismatchError
            if isinstance(data__objectivelatencyms, (int, float)) and not isinstance(
                data__objectivelatencyms, bool
            ):
                if data__objectivelatencyms < 1:
                    raise SchemaMismatchError
                if data__objectivelatencyms > 3600000:
                    raise SchemaMismatchError
        if "objective_ratio" in data_keys:
            data_keys.remove("objective_ratio")
            data__objectiveratio = data["objective_ratio"]
            if not isinstance(data__objectiveratio, (int, float)) or isinstance(
                data__objectiveratio, bool
            ):
                raise SchemaMismatchError
            if isinstance(data__objectiveratio, (int, float)) and not isinstance(
                data__objectiveratio, bool
            ):
                if data__objectiveratio <= 0:
                    raise SchemaMismatchError
                if data__objectiveratio >= 1:
                    raise SchemaMismatchError
        if "public" in data_keys:
            data_keys.remove("public")
            data__public = data["public"]
            if not isinstance(data__public, (bool)):
                raise SchemaMismatchError
        if data_keys:
            raise SchemaMismatchError
    return data


def check_share(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise SchemaMismatchError
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(["pool", "weight"]) - data.keys()
        if data__missing_keys:
            raise SchemaMismatchError
        data_keys = set(data.keys())
        if "pool" in data_keys:
            data_keys.remove("pool")
            data__pool = data["pool"]
            if not isinstance(data__pool, (str)):
                raise SchemaMismatchError
        if "weight" in data_keys:
            data_keys.remove("weight")
            data__weight = data["weight"]
            if not isinstance(data__weight, (int, float)) or isinstance(data__weight, bool):
                raise SchemaMismatchError
            if isinstance(data__weight, (int, float)) and not isinstance(data__weight, bool):
                if data__weight < 0:
                    raise SchemaMismatchError
                if data__weight > 1000000:
                    raise SchemaMismatchError
        if data_keys:
            raise SchemaMismatchError
    return data


def check_announcement(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise SchemaMismatchError
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(["pool", "address"]) - data.keys()
        if data__missing_keys:
            raise SchemaMismatchError
        data_keys = set(data.keys())
        if "pool" in data_keys:
            data_keys.remove("pool")
            data__pool = data["pool"]
            if not isinstance(data__pool, (str)):
                raise SchemaMismatchError
            if isinstance(data__pool, str):
                if not REGEX_PATTERNS["^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$"].search(data__pool):
                    raise SchemaMismatchError
        if "address" in data_keys:
            data_keys.remove("address")
            data__address = data["address"]
            if not isinstance(data__address, (str)):
                raise SchemaMismatchError
            if isinstance(data__address, str):
                if not REGEX_PATTERNS[
                    "^((22[0-3]|2[01][0-9]|1[0-9]{2}|[1-9]?[1-9]|[1-9]0)(\\.(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])){3}|\\[[0-9A-Fa-f:.]{2,45}\\]):(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}|[1-9][0-9]{0,3})$"
                ].search(data__address):
                    raise SchemaMismatchError
        if "availability_zone" in data_keys:
            data_keys.remove("availability_zone")
            data__availabilityzone = data["availability_zone"]
            if not isinstance(data__availabilityzone, (str)):
                raise SchemaMismatchError
            if isinstance(data__availabilityzone, str):
                data__availabilityzone_len = len(data__availabilityzone)
                if data__availabilityzone_len > 63:
                    raise SchemaMismatchError
                if not REGEX_PATTERNS["^[^\\u0000-\\u001f\\u007f\\ud800-\\udfff]*$"].search(
                    data__availabilityzone
                ):
                    raise SchemaMismatchError
        if "slots" in data_keys:
            data_keys.remove("slots")
            data__slots = data["slots"]
            if (
                not isinstance(data__slots, (int))
                and not (isinstance(data__slots, float) and data__slots.is_integer())
                or isinstance(data__slots, bool)
            ):
                raise SchemaMismatchError
            if isinstance(data__slots, (int, float)) and not isinstance(data__slots, bool):
                if data__slots < 0:
                    raise SchemaMismatchError
                if data__slots > 100000:
                    raise SchemaMismatchError
        if "state" in data_keys:
            data_keys.remove("state")
            data__state = data["state"]
            if not isinstance(data__state, (str)):
                raise SchemaMismatchError
            if not (
                isinstance(data__state, str)
                and data__state == "ready"
                or isinstance(data__state, str)
                and data__state == "draining"
            ):
                raise SchemaMismatchError
        if "incarnation" in data_keys:
            data_keys.remove("incarnation")
            data__incarnation = data["incarnation"]
            if (
                not isinstance(data__incarnation, (int))
                and not (
                    isinstance(data__incarnation, float) and data__incarnation.is_integer()
                )
                or isinstance(data__incarnation, bool)
            ):
                raise SchemaMismatchError
            if isinstance(data__incarnation, (int, float)) and not isinstance(
                data__incarnation, bool
            ):
                if data__incarnation < 0:
                    raise SchemaMismatchError
                if data__incarnation > 4611686018427387904:
                    raise SchemaMismatchError
        if "sequence" in data_keys:
            data_keys.remove("sequence")
            data__sequence = data["sequence"]
            if (
                not isinstance(data__sequence, (int))
                and not (isinstance(data__sequence, float) and data__sequence.is_integer())
                or isinstance(data__sequence, bool)
            ):
                raise SchemaMismatchError
            if isinstance(data__sequence, (int, float)) and not isinstance(
                data__sequence, bool
            ):
                if data__sequence < 0:
                    raise SchemaMismatchError
                if data__sequence > 4611686018427387904:
                    raise SchemaMismatchError
        if "born" in data_keys:
            data_keys.remove("born")
            data__born = data["born"]
            if (
                not isinstance(data__born, (int))
                and not (isinstance(data__born, float) and data__born.is_integer())
                or isinstance(data__born, bool)
            ):
                raise SchemaMismatchError
            if isinstance(data__born, (int, float)) and not isinstance(data__born, bool):
                if data__born < 0:
                    raise SchemaMismatchError
                if data__born > 4611686018427387904:
                    raise SchemaMismatchError
        if "warmup_left_ms" in data_keys:
            data_keys.remove("warmup_left_ms")
            data__warmupleftms = data["warmup_left_ms"]
            if not isinstance(data__warmupleftms, (int, float)) or isinstance(
                data__warmupleftms, bool
            ):
                raise SchemaMismatchError
            if isinstance(data__warmupleftms, (int, float)) and not isinstance(
                data__warmupleftms, bool
            ):
                if data__warmupleftms < 0:
                    raise SchemaMismatchError
                if data__warmupleftms > 3600000:
                    raise SchemaMismatchError
        if "version" in data_keys:
            data_keys.remove("version")
            data__version = data["version"]
            if not isinstance(data__version, (str)):
                raise SchemaMismatchError
            if isinstance(data__version, str):
                data__version_len = len(data__version)
                if data__version_len > 128:
                    raise SchemaMismatchError
                if not REGEX_PATTERNS["^[^\\u0000-\\u001f\\u007f\\ud800-\\udfff]*$"].search(
                    data__version
                ):
                    raise SchemaMismatchError
        if "lease_s" in data_keys:
            data_keys.remove("lease_s")
            data__leases = data["lease_s"]
            if not isinstance(data__leases, (int, float)) or isinstance(data__leases, bool):
                raise SchemaMismatchError
            if isinstance(data__leases, (int, float)) and not isinstance(data__leases, bool):
                if data__leases > 3600:
                    raise SchemaMismatchError
                if data__leases <= 0:
                    raise SchemaMismatchError
    return data


def check_settings(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise SchemaMismatchError
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data_keys = set(data.keys())
        if "role" in data_keys:
            data_keys.remove("role")
            data__role = data["role"]
            if not isinstance(data__role, (str)):
                raise SchemaMismatchError
            if not (
                isinstance(data__role, str)
                and data__role == "all"
                or isinstance(data__role, str)
                and data__role == "entry"
                or isinstance(data__role, str)
                and data__role == "control"
            ):
                raise SchemaMismatchError
        if "instance_id" in data_keys:
            data_keys.remove("instance_id")
            data__instanceid = data["instance_id"]
            if not isinstance(data__instanceid, (str)):
                raise SchemaMismatchError
            if isinstance(data__instanceid, str):
                if not REGEX_PATTERNS["^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$"].search(
                    data__instanceid
                ):
                    raise SchemaMismatchError
        if "availability_zone" in data_keys:
            data_keys.remove("availability_zone")
            data__availabilityzone = data["availability_zone"]
            if not isinstance(data__availabilityzone, (str)):
                raise SchemaMismatchError
            if isinstance(data__availabilityzone, str):
                if not REGEX_PATTERNS["^[A-Za-z0-9_.-]{1,63}$"].search(data__availabilityzone):
                    raise SchemaMismatchError
        if "listen" in data_keys:
            data_keys.remove("listen")
            data__listen = data["listen"]
            if not isinstance(data__listen, (str)):
                raise SchemaMismatchError
            if isinstance(data__listen, str):
                if not REGEX_PATTERNS["^.+:[0-9]{1,5}$"].search(data__listen):
                    raise SchemaMismatchError
        if "admin_listen" in data_keys:
            data_keys.remove("admin_listen")
            data__adminlisten = data["admin_listen"]
            if not isinstance(data__adminlisten, (str)):
                raise SchemaMismatchError
            if isinstance(data__adminlisten, str):
                if not REGEX_PATTERNS["^.+:[0-9]{1,5}$"].search(data__adminlisten):
                    raise SchemaMismatchError
        if "peer_listen" in data_keys:
            data_keys.remove("peer_listen")
            data__peerlisten = data["peer_listen"]
            if not isinstance(data__peerlisten, (str)):
                raise SchemaMismatchError
            if isinstance(data__peerlisten, str):
                if not REGEX_PATTERNS["^(.+:[0-9]{1,5})?$"].search(data__peerlisten):
                    raise SchemaMismatchError
        if "forward_listen" in data_keys:
            data_keys.remove("forward_listen")
            data__forwardlisten = data["forward_listen"]
            if not isinstance(data__forwardlisten, (str)):
                raise SchemaMismatchError
            if isinstance(data__forwardlisten, str):
                if not REGEX_PATTERNS["^(.+:[0-9]{1,5})?$"].search(data__forwardlisten):
                    raise SchemaMismatchError
        if "seeds" in data_keys:
            data_keys.remove("seeds")
            data__seeds = data["seeds"]
            if not isinstance(data__seeds, (str)):
                raise SchemaMismatchError
            if isinstance(data__seeds, str):
                if not REGEX_PATTERNS[
                    "^$|^[^=,]+=[^=,]+:[0-9]{1,5}(,[^=,]+=[^=,]+:[0-9]{1,5})*$"
                ].search(data__seeds):
                    raise SchemaMismatchError
        if "bootstrap" in data_keys:
            data_keys.remove("bootstrap")
            data__bootstrap = data["bootstrap"]
            if not isinstance(data__bootstrap, (bool)):
                raise SchemaMismatchError
        if "tolerated_losses" in data_keys:
            data_keys.remove("tolerated_losses")
            data__toleratedlosses = data["tolerated_losses"]
            if (
                not isinstance(data__toleratedlosses, (int))
                and not (
                    isinstance(data__toleratedlosses, float)
                    and data__toleratedlosses.is_integer()
                )
                or isinstance(data__toleratedlosses, bool)
            ):
                raise SchemaMismatchError
            if isinstance(data__toleratedlosses, (int, float)) and not isinstance(
                data__toleratedlosses, bool
            ):
                if data__toleratedlosses < 0:
                    raise SchemaMismatchError
                if data__toleratedlosses > 10:
                    raise SchemaMismatchError
        if "announcement_lease_s" in data_keys:
            data_keys.remove("announcement_lease_s")
            data__announcementleases = data["announcement_lease_s"]
            if not isinstance(data__announcementleases, (int, float)) or isinstance(
                data__announcementleases, bool
            ):
                raise SchemaMismatchError
            if isinstance(data__announcementleases, (int, float)) and not isinstance(
                data__announcementleases, bool
            ):
                if data__announcementleases > 3600:
                    raise SchemaMismatchError
                if data__announcementleases <= 0:
                    raise SchemaMismatchError
        if "sample_size" in data_keys:
            data_keys.remove("sample_size")
            data__samplesize = data["sample_size"]
            if (
                not isinstance(data__samplesize, (int))
                and not (isinstance(data__samplesize, float) and data__samplesize.is_integer())
                or isinstance(data__samplesize, bool)
            ):
                raise SchemaMismatchError
            if isinstance(data__samplesize, (int, float)) and not isinstance(
                data__samplesize, bool
            ):
                if data__samplesize < 0:
                    raise SchemaMismatchError
                if data__samplesize > 16:
                    raise SchemaMismatchError
        if "probes_per_s" in data_keys:
            data_keys.remove("probes_per_s")
            data__probespers = data["probes_per_s"]
            if not isinstance(data__probespers, (int, float)) or isinstance(
                data__probespers, bool
            ):
                raise SchemaMismatchError
            if isinstance(data__probespers, (int, float)) and not isinstance(
                data__probespers, bool
            ):
                if data__probespers < 0:
                    raise SchemaMismatchError
                if data__probespers > 10000:
                    raise SchemaMismatchError
        if "retry_budget_ratio" in data_keys:
            data_keys.remove("retry_budget_ratio")
            data__retrybudgetratio = data["retry_budget_ratio"]
            if not isinstance(data__retrybudgetratio, (int, float)) or isinstance(
                data__retrybudgetratio, bool
            ):
                raise SchemaMismatchError
            if isinstance(data__retrybudgetratio, (int, float)) and not isinstance(
                data__retrybudgetratio, bool
            ):
                if data__retrybudgetratio < 0:
                    raise SchemaMismatchError
                if data__retrybudgetratio > 1:
                    raise SchemaMismatchError
        if "retry_slack" in data_keys:
            data_keys.remove("retry_slack")
            data__retryslack = data["retry_slack"]
            if not isinstance(data__retryslack, (int, float)) or isinstance(
                data__retryslack, bool
            ):
                raise SchemaMismatchError
            if isinstance(data__retryslack, (int, float)) and not isinstance(
                data__retryslack, bool
            ):
                if data__retryslack < 0:
                    raise SchemaMismatchError
                if data__retryslack > 1000000:
                    raise SchemaMismatchError
        if "control" in data_keys:
            data_keys.remove("control")
            data__control = data["control"]
            if not isinstance(data__control, (str)):
                raise SchemaMismatchError
            if isinstance(data__control, str):
                if not REGEX_PATTERNS[
                    "^$|^[^=,]+=[^=,]+:[0-9]{1,5}(,[^=,]+=[^=,]+:[0-9]{1,5})*$"
                ].search(data__control):
                    raise SchemaMismatchError
        if "data_dir" in data_keys:
            data_keys.remove("data_dir")
            data__datadir = data["data_dir"]
            if not isinstance(data__datadir, (str)):
                raise SchemaMismatchError
            if isinstance(data__datadir, str):
                data__datadir_len = len(data__datadir)
                if data__datadir_len < 1:
                    raise SchemaMismatchError
        if "log_lines_per_s" in data_keys:
            data_keys.remove("log_lines_per_s")
            data__loglinespers = data["log_lines_per_s"]
            if (
                not isinstance(data__loglinespers, (int))
                and not (
                    isinstance(data__loglinespers, float) and data__loglinespers.is_integer()
                )
                or isinstance(data__loglinespers, bool)
            ):
                raise SchemaMismatchError
            if isinstance(data__loglinespers, (int, float)) and not isinstance(
                data__loglinespers, bool
            ):
                if data__loglinespers < 0:
                    raise SchemaMismatchError
                if data__loglinespers > 100000:
                    raise SchemaMismatchError
        if "dialect" in data_keys:
            data_keys.remove("dialect")
            data__dialect = data["dialect"]
            if not isinstance(data__dialect, (str)):
                raise SchemaMismatchError
        if "metrics_listen" in data_keys:
            data_keys.remove("metrics_listen")
            data__metricslisten = data["metrics_listen"]
            if not isinstance(data__metricslisten, (str)):
                raise SchemaMismatchError
            if isinstance(data__metricslisten, str):
                if not REGEX_PATTERNS["^(.+:[0-9]{1,5})?$"].search(data__metricslisten):
                    raise SchemaMismatchError
        if "statsd" in data_keys:
            data_keys.remove("statsd")
            data__statsd = data["statsd"]
            if not isinstance(data__statsd, (str)):
                raise SchemaMismatchError
            if isinstance(data__statsd, str):
                if not REGEX_PATTERNS["^(.+:[0-9]{1,5})?$"].search(data__statsd):
                    raise SchemaMismatchError
        if "log_level" in data_keys:
            data_keys.remove("log_level")
            data__loglevel = data["log_level"]
            if not isinstance(data__loglevel, (str)):
                raise SchemaMismatchError
            if not (
                isinstance(data__loglevel, str)
                and data__loglevel == "debug"
                or isinstance(data__loglevel, str)
                and data__loglevel == "info"
                or isinstance(data__loglevel, str)
                and data__loglevel == "warning"
                or isinstance(data__loglevel, str)
                and data__loglevel == "error"
            ):
                raise SchemaMismatchError
        if "log_format" in data_keys:
            data_keys.remove("log_format")
            data__logformat = data["log_format"]
            if not isinstance(data__logformat, (str)):
                raise SchemaMismatchError
            if not (
                isinstance(data__logformat, str)
                and data__logformat == "kv"
                or isinstance(data__logformat, str)
                and data__logformat == "json"
            ):
                raise SchemaMismatchError
        if "access_log" in data_keys:
            data_keys.remove("access_log")
            data__accesslog = data["access_log"]
            if not isinstance(data__accesslog, (bool)):
                raise SchemaMismatchError
        if "shutdown_grace_s" in data_keys:
            data_keys.remove("shutdown_grace_s")
            data__shutdowngraces = data["shutdown_grace_s"]
            if not isinstance(data__shutdowngraces, (int, float)) or isinstance(
                data__shutdowngraces, bool
            ):
                raise SchemaMismatchError
            if isinstance(data__shutdowngraces, (int, float)) and not isinstance(
                data__shutdowngraces, bool
            ):
                if data__shutdowngraces < 0:
                    raise SchemaMismatchError
                if data__shutdowngraces > 3600:
                    raise SchemaMismatchError
        if "unready_s" in data_keys:
            data_keys.remove("unready_s")
            data__unreadys = data["unready_s"]
            if not isinstance(data__unreadys, (int, float)) or isinstance(data__unreadys, bool):
                raise SchemaMismatchError
            if isinstance(data__unreadys, (int, float)) and not isinstance(
                data__unreadys, bool
            ):
                if data__unreadys < 0:
                    raise SchemaMismatchError
                if data__unreadys > 600:
                    raise SchemaMismatchError
        if "operator_token_file" in data_keys:
            data_keys.remove("operator_token_file")
            data__operatortokenfile = data["operator_token_file"]
            if not isinstance(data__operatortokenfile, (str)):
                raise SchemaMismatchError
        if "fleet_key_file" in data_keys:
            data_keys.remove("fleet_key_file")
            data__fleetkeyfile = data["fleet_key_file"]
            if not isinstance(data__fleetkeyfile, (str)):
                raise SchemaMismatchError
        if "threads" in data_keys:
            data_keys.remove("threads")
            data__threads = data["threads"]
            if (
                not isinstance(data__threads, (int))
                and not (isinstance(data__threads, float) and data__threads.is_integer())
                or isinstance(data__threads, bool)
            ):
                raise SchemaMismatchError
            if isinstance(data__threads, (int, float)) and not isinstance(data__threads, bool):
                if data__threads < 2:
                    raise SchemaMismatchError
                if data__threads > 4096:
                    raise SchemaMismatchError
        if "max_connections" in data_keys:
            data_keys.remove("max_connections")
            data__maxconnections = data["max_connections"]
            if (
                not isinstance(data__maxconnections, (int))
                and not (
                    isinstance(data__maxconnections, float)
                    and data__maxconnections.is_integer()
                )
                or isinstance(data__maxconnections, bool)
            ):
                raise SchemaMismatchError
            if isinstance(data__maxconnections, (int, float)) and not isinstance(
                data__maxconnections, bool
            ):
                if data__maxconnections < 1:
                    raise SchemaMismatchError
                if data__maxconnections > 100000:
                    raise SchemaMismatchError
        if "max_header_bytes" in data_keys:
            data_keys.remove("max_header_bytes")
            data__maxheaderbytes = data["max_header_bytes"]
            if (
                not isinstance(data__maxheaderbytes, (int))
                and not (
                    isinstance(data__maxheaderbytes, float)
                    and data__maxheaderbytes.is_integer()
                )
                or isinstance(data__maxheaderbytes, bool)
            ):
                raise SchemaMismatchError
            if isinstance(data__maxheaderbytes, (int, float)) and not isinstance(
                data__maxheaderbytes, bool
            ):
                if data__maxheaderbytes < 1024:
                    raise SchemaMismatchError
                if data__maxheaderbytes > 1048576:
                    raise SchemaMismatchError
        if "max_body_bytes" in data_keys:
            data_keys.remove("max_body_bytes")
            data__maxbodybytes = data["max_body_bytes"]
            if (
                not isinstance(data__maxbodybytes, (int))
                and not (
                    isinstance(data__maxbodybytes, float) and data__maxbodybytes.is_integer()
                )
                or isinstance(data__maxbodybytes, bool)
            ):
                raise SchemaMismatchError
            if isinstance(data__maxbodybytes, (int, float)) and not isinstance(
                data__maxbodybytes, bool
            ):
                if data__maxbodybytes < 0:
                    raise SchemaMismatchError
                if data__maxbodybytes > 1099511627776:
                    raise SchemaMismatchError
        if "write_deadline_s" in data_keys:
            data_keys.remove("write_deadline_s")
            data__writedeadlines = data["write_deadline_s"]
            if not isinstance(data__writedeadlines, (int, float)) or isinstance(
                data__writedeadlines, bool
            ):
                raise SchemaMismatchError
            if isinstance(data__writedeadlines, (int, float)) and not isinstance(
                data__writedeadlines, bool
            ):
                if data__writedeadlines > 3600:
                    raise SchemaMismatchError
                if data__writedeadlines <= 0:
                    raise SchemaMismatchError
        if "queue_limit" in data_keys:
            data_keys.remove("queue_limit")
            data__queuelimit = data["queue_limit"]
            if (
                not isinstance(data__queuelimit, (int))
                and not (isinstance(data__queuelimit, float) and data__queuelimit.is_integer())
                or isinstance(data__queuelimit, bool)
            ):
                raise SchemaMismatchError
            if isinstance(data__queuelimit, (int, float)) and not isinstance(
                data__queuelimit, bool
            ):
                if data__queuelimit < 0:
                    raise SchemaMismatchError
                if data__queuelimit > 100000:
                    raise SchemaMismatchError
        if "warmup_overshoot" in data_keys:
            data_keys.remove("warmup_overshoot")
            data__warmupovershoot = data["warmup_overshoot"]
            if not isinstance(data__warmupovershoot, (int, float)) or isinstance(
                data__warmupovershoot, bool
            ):
                raise SchemaMismatchError
            if isinstance(data__warmupovershoot, (int, float)) and not isinstance(
                data__warmupovershoot, bool
            ):
                if data__warmupovershoot < 0:
                    raise SchemaMismatchError
                if data__warmupovershoot > 1000:
                    raise SchemaMismatchError
        if "warmup_slack" in data_keys:
            data_keys.remove("warmup_slack")
            data__warmupslack = data["warmup_slack"]
            if not isinstance(data__warmupslack, (int, float)) or isinstance(
                data__warmupslack, bool
            ):
                raise SchemaMismatchError
            if isinstance(data__warmupslack, (int, float)) and not isinstance(
                data__warmupslack, bool
            ):
                if data__warmupslack < 0:
                    raise SchemaMismatchError
                if data__warmupslack > 1000000:
                    raise SchemaMismatchError
        if "availability_zones" in data_keys:
            data_keys.remove("availability_zones")
            data__availabilityzones = data["availability_zones"]
            if not isinstance(data__availabilityzones, (str)):
                raise SchemaMismatchError
            if isinstance(data__availabilityzones, str):
                if not REGEX_PATTERNS[
                    "^$|^[A-Za-z0-9_.-]{1,63}(,[A-Za-z0-9_.-]{1,63})*$"
                ].search(data__availabilityzones):
                    raise SchemaMismatchError
        if "evacuation_s" in data_keys:
            data_keys.remove("evacuation_s")
            data__evacuations = data["evacuation_s"]
            if not isinstance(data__evacuations, (int, float)) or isinstance(
                data__evacuations, bool
            ):
                raise SchemaMismatchError
            if isinstance(data__evacuations, (int, float)) and not isinstance(
                data__evacuations, bool
            ):
                if data__evacuations > 3600:
                    raise SchemaMismatchError
                if data__evacuations <= 0:
                    raise SchemaMismatchError
        if "key_check_s" in data_keys:
            data_keys.remove("key_check_s")
            data__keychecks = data["key_check_s"]
            if not isinstance(data__keychecks, (int, float)) or isinstance(
                data__keychecks, bool
            ):
                raise SchemaMismatchError
            if isinstance(data__keychecks, (int, float)) and not isinstance(
                data__keychecks, bool
            ):
                if data__keychecks > 3600:
                    raise SchemaMismatchError
                if data__keychecks <= 0:
                    raise SchemaMismatchError
        if "revocation_s" in data_keys:
            data_keys.remove("revocation_s")
            data__revocations = data["revocation_s"]
            if not isinstance(data__revocations, (int, float)) or isinstance(
                data__revocations, bool
            ):
                raise SchemaMismatchError
            if isinstance(data__revocations, (int, float)) and not isinstance(
                data__revocations, bool
            ):
                if data__revocations < 0:
                    raise SchemaMismatchError
                if data__revocations > 3600:
                    raise SchemaMismatchError
        if "quota_window_s" in data_keys:
            data_keys.remove("quota_window_s")
            data__quotawindows = data["quota_window_s"]
            if not isinstance(data__quotawindows, (int, float)) or isinstance(
                data__quotawindows, bool
            ):
                raise SchemaMismatchError
            if isinstance(data__quotawindows, (int, float)) and not isinstance(
                data__quotawindows, bool
            ):
                if data__quotawindows > 3600:
                    raise SchemaMismatchError
                if data__quotawindows <= 0:
                    raise SchemaMismatchError
        if "quota_overshoot" in data_keys:
            data_keys.remove("quota_overshoot")
            data__quotaovershoot = data["quota_overshoot"]
            if not isinstance(data__quotaovershoot, (int, float)) or isinstance(
                data__quotaovershoot, bool
            ):
                raise SchemaMismatchError
            if isinstance(data__quotaovershoot, (int, float)) and not isinstance(
                data__quotaovershoot, bool
            ):
                if data__quotaovershoot < 0:
                    raise SchemaMismatchError
                if data__quotaovershoot > 1000:
                    raise SchemaMismatchError
        if "quota_slack" in data_keys:
            data_keys.remove("quota_slack")
            data__quotaslack = data["quota_slack"]
            if not isinstance(data__quotaslack, (int, float)) or isinstance(
                data__quotaslack, bool
            ):
                raise SchemaMismatchError
            if isinstance(data__quotaslack, (int, float)) and not isinstance(
                data__quotaslack, bool
            ):
                if data__quotaslack < 0:
                    raise SchemaMismatchError
                if data__quotaslack > 1000000:
                    raise SchemaMismatchError
        if "pipeline_per_connection" in data_keys:
            data_keys.remove("pipeline_per_connection")
            data__pipelineperconnection = data["pipeline_per_connection"]
            if (
                not isinstance(data__pipelineperconnection, (int))
                and not (
                    isinstance(data__pipelineperconnection, float)
                    and data__pipelineperconnection.is_integer()
                )
                or isinstance(data__pipelineperconnection, bool)
            ):
                raise SchemaMismatchError
            if isinstance(data__pipelineperconnection, (int, float)) and not isinstance(
                data__pipelineperconnection, bool
            ):
                if data__pipelineperconnection < 1:
                    raise SchemaMismatchError
                if data__pipelineperconnection > 1000:
                    raise SchemaMismatchError
        if "pipeline_total" in data_keys:
            data_keys.remove("pipeline_total")
            data__pipelinetotal = data["pipeline_total"]
            if (
                not isinstance(data__pipelinetotal, (int))
                and not (
                    isinstance(data__pipelinetotal, float) and data__pipelinetotal.is_integer()
                )
                or isinstance(data__pipelinetotal, bool)
            ):
                raise SchemaMismatchError
            if isinstance(data__pipelinetotal, (int, float)) and not isinstance(
                data__pipelinetotal, bool
            ):
                if data__pipelinetotal < 1:
                    raise SchemaMismatchError
                if data__pipelinetotal > 100000:
                    raise SchemaMismatchError
        if "pipeline_buffer_bytes" in data_keys:
            data_keys.remove("pipeline_buffer_bytes")
            data__pipelinebufferbytes = data["pipeline_buffer_bytes"]
            if (
                not isinstance(data__pipelinebufferbytes, (int))
                and not (
                    isinstance(data__pipelinebufferbytes, float)
                    and data__pipelinebufferbytes.is_integer()
                )
                or isinstance(data__pipelinebufferbytes, bool)
            ):
                raise SchemaMismatchError
            if isinstance(data__pipelinebufferbytes, (int, float)) and not isinstance(
                data__pipelinebufferbytes, bool
            ):
                if data__pipelinebufferbytes < 0:
                    raise SchemaMismatchError
                if data__pipelinebufferbytes > 1073741824:
                    raise SchemaMismatchError
        if "max_held_bytes" in data_keys:
            data_keys.remove("max_held_bytes")
            data__maxheldbytes = data["max_held_bytes"]
            if (
                not isinstance(data__maxheldbytes, (int))
                and not (
                    isinstance(data__maxheldbytes, float) and data__maxheldbytes.is_integer()
                )
                or isinstance(data__maxheldbytes, bool)
            ):
                raise SchemaMismatchError
            if isinstance(data__maxheldbytes, (int, float)) and not isinstance(
                data__maxheldbytes, bool
            ):
                if data__maxheldbytes < 0:
                    raise SchemaMismatchError
                if data__maxheldbytes > 1099511627776:
                    raise SchemaMismatchError
        if "memory_bytes" in data_keys:
            data_keys.remove("memory_bytes")
            data__memorybytes = data["memory_bytes"]
            if (
                not isinstance(data__memorybytes, (int))
                and not (
                    isinstance(data__memorybytes, float) and data__memorybytes.is_integer()
                )
                or isinstance(data__memorybytes, bool)
            ):
                raise SchemaMismatchError
            if isinstance(data__memorybytes, (int, float)) and not isinstance(
                data__memorybytes, bool
            ):
                if data__memorybytes < 0:
                    raise SchemaMismatchError
                if data__memorybytes > 1099511627776:
                    raise SchemaMismatchError
        if "body_stall_s" in data_keys:
            data_keys.remove("body_stall_s")
            data__bodystalls = data["body_stall_s"]
            if not isinstance(data__bodystalls, (int, float)) or isinstance(
                data__bodystalls, bool
            ):
                raise SchemaMismatchError
            if isinstance(data__bodystalls, (int, float)) and not isinstance(
                data__bodystalls, bool
            ):
                if data__bodystalls > 3600:
                    raise SchemaMismatchError
                if data__bodystalls <= 0:
                    raise SchemaMismatchError
        if data_keys:
            raise SchemaMismatchError
    return data
