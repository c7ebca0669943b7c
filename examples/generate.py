#!/usr/bin/env python3
"""Generates the settings files of both example deployments, all on loopback.

The generated files are committed; run this after changing the topology below.
"""

import hashlib
import json
import pathlib

HERE = pathlib.Path(__file__).parent
ENGINES_PER_RUNNER = 2
RUNNERS_PER_ZONE = ("prefill", "decode", "decode")


def deployment(name, base_port, zones, model, plain, teams, policy):
    root = HERE / name
    root.mkdir(exist_ok=True)
    ports = iter(range(base_port, base_port + 999))
    key = f"example-peer-key-of-{name}"
    platform = f"127.0.0.1:{next(ports)}"
    vms, upstreams = [], []

    def write(file, comment, content):
        text = json.dumps(content, indent=2)
        (root / file).write_text(f"// {comment}\n{text}\n")

    def address():
        return f"127.0.0.1:{next(ports)}"

    def daemon(vm, role, zone, region, extra):
        settings = {"role": role, "vm": vm, "zone": zone, "region": region,
                    "platform": platform, "peers": address(),
                    "operators": address(), "peer_key": key, **extra}
        write(f"{role}-{vm}.json", f"Settings of burdockhilld on VM {vm}.",
              settings)
        vms.append({"name": vm, "role": role, "zone": zone, "region": region,
                    "peers": settings["peers"],
                    "operators": settings["operators"]})

    def runner(vm, zone, region, role, seed):
        engines = [{"address": address(), "role": role, "seed": seed * 10 + i}
                   for i in range(ENGINES_PER_RUNNER)]
        write(f"engine-{vm}.json", f"Engine stand-ins beside VM {vm}.",
              {"engines": engines})
        back_ends = [{"name": f"engine-{i}", "address": engine["address"]}
                     for i, engine in enumerate(engines)]
        daemon(vm, "agent", zone, region,
               {"upstream": {"name": vm, "service": model,
                             "back_ends": back_ends}})
        upstreams.append((vm, {"service": model, "vm": vm, "pool": role}))

    def plain_vm(vm, zone, region):
        back_end = address()
        write(f"plain-{vm}.json", f"Plain service stand-in beside VM {vm}.",
              {"address": back_end, "name": plain})
        daemon(vm, "agent", zone, region,
               {"upstream": {"name": vm, "service": plain, "plain": True,
                             "back_ends": [{"name": "app",
                                            "address": back_end}]}})
        upstreams.append((vm, {"service": plain, "vm": vm}))

    seed = 0
    for zone, region in zones:
        daemon(f"entry-{zone}", "entry", zone, region, {"callers": address()})
        for index, role in enumerate(RUNNERS_PER_ZONE):
            seed += 1
            runner(f"runner-{zone}-{index + 1}", zone, region, role, seed)
        plain_vm(f"app-{zone}", zone, region)
    write("platform.json", "The platform stand-in.",
          {"address": platform, "vms": vms})

    def resource(kind, name, spec):
        return {"kind": kind, "name": name, "spec": spec}

    resources = [resource("RoutingPolicy", "default", policy),
                 resource("ModelService", model, {"max_prompt_tokens": 32768,
                                                  "max_output_tokens": 2048,
                                                  "default_output_tokens": 256}),
                 resource("PlainService", plain, {
                     "routes": [
                         {"path_prefix": "/", "methods": ["GET"],
                          "repeatable": True},
                         {"path_prefix": "/", "methods": ["POST", "PUT"],
                          "repeatable": False}],
                     "duplicate_key": {"header": "Idempotency-Key"},
                     "timeout_ms": 10000})]
    resources += [resource("Upstream", vm, spec) for vm, spec in upstreams]
    for team, spec in teams.items():
        digest = hashlib.sha256(f"demo-{team}".encode()).hexdigest()
        resources.append(resource("Team", team,
                                  {"key_sha256": digest, **spec}))
    write("resources.json", "Resources of the operators. The API key of "
          "team X is demo-X.", {"resources": resources})


BUSY = {"requests_per_second": 1000, "burst": 2000, "max_concurrent": 20000}

deployment(
    "lakeshore", 7000,
    [("grand-rapids", "michigan"), ("detroit", "michigan"),
     ("hamilton", "ontario")],
    "digest-llm", "booking-app",
    {"adjusters": {"class": "interactive", **BUSY},
     "body-shops": {"class": "standard", **BUSY},
     "cabinet-makers": {"class": "batch", **BUSY}},
    {"first_token_target_ms": 700, "per_token_target_ms": 32,
     "first_token_limit_ms": 3000})
deployment(
    "kawit", 8000,
    [("luzon-cavite", "luzon"), ("luzon-bulacan", "luzon"),
     ("visayas-cebu", "visayas")],
    "review-llm", "orders-app",
    {"clinics": {"class": "interactive", **BUSY},
     "schools": {"class": "standard", **BUSY},
     "contractors": {"class": "batch", **BUSY}},
    {"first_token_target_ms": 700, "per_token_target_ms": 32,
     "first_token_limit_ms": 10000})
