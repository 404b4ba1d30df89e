package linengauge.site;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import linengauge.Deployment;
import linengauge.Span;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SiteFileTest {
  /** A valid file of ten lines with one part replaced. */
  private static String siteWith(String part, String replacement) {
    String valid =
        """
                { // a comment
                  site: 'x', buildings: ["a", "b"],
                  front: { number: 1, building: "b", viewers: "127.0.0.1:1", control: "127.0.0.1:2", words: "127.0.0.1:3" },
                  fronts: { count: 2, words: { "0": "127.0.0.1:4" } },
                  ladder: [ { kb: 30, value: 0.4 }, { kb: 60, value: 1 }, ],
                  packages: [ { name: "p", value: 2, joinTargetMs: 800, lowestRung: 1, seats: 3, paidAtSetUp: true } ],
                  fleet: { cells: 4, racks: 2, kinds: [ { name: "s", streams: 9 } ], linksKb: 400, uplinkKb: 100,
                    shareLatenessMs: 500 },
                  list: { address: "127.0.0.1:5" }, permits: { messages: true },
                }""";
    assertTrue(part.isEmpty() || valid.contains(part), part);
    return valid.replace(part.isEmpty() ? "\0" : part, replacement);
  }

  @Test
  void readsAValidFileWithDefaults() throws InvalidSiteException {
    Site site = SiteFile.parse("f", siteWith("", ""));
    Deployment deployment = site.deployment();
    assertEquals(1, deployment.frontNumber());
    assertEquals(1, deployment.building());
    assertEquals(Span.ofMillis(800), deployment.packages().get(0).latencyObjective());
    assertEquals(1, deployment.packages().get(0).highestRung());
    assertTrue(
        deployment.packages().get(0).paidAtSetUp() && deployment.permissions().mayMessageFronts());
    assertEquals(4, deployment.permissions().maxTuneIns(), "default next to a given value");
    assertEquals(
        site,
        SiteFile.parse("again", SiteFile.show(site)),
        "the rendered site parses to an equal one");
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "site: 'x',| |f:1: required property 'site'",
        "count: 2|count: 0|f:4: fronts.count: ",
        "number: 1|number: 2|f:3: front.number: must be under fronts.count",
        "kb: 60|kb: 20|f:5: ladder[1].kb: rates must rise",
        "lowestRung: 1|lowestRung: 2|f:6: packages[0].lowestRung: ",
        "\"0\": \"127|\"7\": \"127|fronts.words: '7' is no",
        "building: \"b\"|building: \"c\"|f:3: front.building: names no building",
        "racks: 2|rack: 2|f:7: fleet: ",
        "joinTargetMs: 800|joinTargetMs: 20000|joinTargetMs: must be under",
        "site: 'x'|site: 'x|f:2: Illegal",
        "cells: 4|cells: \"4\"|f:7: fleet.cells: ",
        "127.0.0.1:5|127.0.0.1:70000|list.address: port 70000",
        "messages: true }|messages: true }, flow: { transfers: 10 }|flow.transfers: must be desk.viewings",
        "messages: true }|messages: true }, flow: { waitingBytes: 65536 }|flow.waitingBytes: the floors of flow.transfers",
        "messages: true }|messages: true }, flow: { evidenceMs: 9000 }|flow.evidenceMs: is over flow.windowMs",
        "messages: true }|messages: true }, flow: { evidenceMs: 250, beatMs: 200 }|flow.evidenceMs: must take two looks",
        "messages: true }|messages: true }, boxes: { mediaConnections: 10 }|boxes.mediaConnections: must hold",
        "messages: true }|messages: true }, members: { listen: \"127.0.0.1:4\", seeds: [ \"127.0.0.2:4\" ] }|members.keyFile: needed",
        "messages: true }|messages: true }, members: { seeds: [ \"127.0.0.2:4\" ] }|members.listen: needed",
        "messages: true }|messages: true }, members: { listen: \"127.0.0.1:4\", keyFile: \"k\" }|members.seeds: needed",
        "messages: true }|messages: true }, members: { listen: \"here:4\", seeds: [ \"127.0.0.2:4\" ], keyFile: \"k\" }|members.listen: must be an address in numbers",
        "messages: true }|messages: true }, members: { listen: \"127.0.0.1:4\", seeds: [ \"there:4\" ], keyFile: \"k\" }|members.seeds[0]: must be",
        "messages: true }|messages: true }, lease: { listen: \"127.0.0.1:4\" }|lease.control: needed",
        "messages: true }|messages: true }, lease: { control: [ { number: 9, region: 0, address: \"127.0.0.2:4\" } ], keyFile: \"k\" }|lease.listen: needed",
        "messages: true }|messages: true }, lease: { listen: \"127.0.0.1:4\", control: [ { number: 9, region: 0, address: \"127.0.0.2:4\" } ] }|lease.keyFile: needed",
        "messages: true }|messages: true }, lease: { listen: \"here:4\", keyFile: \"k\", control: [ { number: 9, region: 0, address: \"127.0.0.2:4\" } ] }|lease.listen: must be an address in numbers",
        "messages: true }|messages: true }, lease: { listen: \"127.0.0.1:4\", keyFile: \"k\", control: [ { number: 1, region: 0, address: \"127.0.0.2:4\" } ] }|lease.control[0].number: is a front",
        "messages: true }|messages: true }, lease: { listen: \"127.0.0.1:4\", keyFile: \"k\", control: [ { number: 9, region: 0, address: \"127.0.0.2:4\" }, { number: 9, region: 0, address: \"127.0.0.3:4\" } ] }|lease.control[1].number: stands twice",
        "messages: true }|messages: true }, lease: { listen: \"127.0.0.1:4\", keyFile: \"k\", control: [ { number: 9, region: 64, address: \"127.0.0.2:4\" } ] }|lease.control[0].region: ",
        "messages: true }|messages: true }, vrrp: { listen: \"127.0.0.1:4\", routers: [ { vrid: 1, priority: 100, advertMs: 100, preempt: true, accept: true, addresses: [ \"192.0.2.1\" ], viewers: \"127.0.0.1:9\" } ] }|vrrp.partners: a shared address wants a partner",
        "messages: true }|messages: true }, vrrp: { listen: \"127.0.0.1:4\", partners: [ \"127.0.0.2:4\" ], routers: [ { vrid: 1, priority: 100, advertMs: 105, preempt: true, accept: true, addresses: [ \"192.0.2.1\" ], viewers: \"127.0.0.1:9\" } ] }|vrrp.routers[0].advertMs: must be whole",
        "messages: true }|messages: true }, vrrp: { listen: \"127.0.0.1:4\", partners: [ \"127.0.0.2:4\" ], routers: [ { vrid: 1, priority: 100, advertMs: 100, preempt: true, accept: true, addresses: [ \"192.0.2.1\" ] } ] }|vrrp.routers[0].viewers: needed",
        "messages: true }|messages: true }, vrrp: { listen: \"127.0.0.1:4\", partners: [ \"127.0.0.2:4\" ], routers: [ { vrid: 1, priority: 100, advertMs: 100, preempt: true, accept: true, addresses: [ \"2001::1\" ], viewers: \"127.0.0.1:9\" } ] }|'2001::1' is of another family",
        "messages: true }|messages: true }, vrrp: { listen: \"127.0.0.1:4\", partners: [ \"127.0.0.2:4\" ], deafAfter: 5, routers: [ { vrid: 1, priority: 100, advertMs: 100, preempt: true, accept: true, addresses: [ \"192.0.2.1\" ], viewers: \"127.0.0.1:9\" } ] }|vrrp.deafAfter: wants vrrp.keyFile",
        "messages: true }|messages: true }, vrrp: { listen: \"127.0.0.1:4\", partners: [ \"127.0.0.2:4\" ], unwellMinus: 5, routers: [ { vrid: 1, priority: 255, advertMs: 100, preempt: true, accept: true, addresses: [ \"192.0.2.1\" ], viewers: \"127.0.0.1:9\" } ] }|the owner of an address",
        "messages: true }|messages: true }, vrrp: { listen: \"127.0.0.1:4\", partners: [ \"127.0.0.1:4\" ], routers: [ { vrid: 1, priority: 100, advertMs: 100, preempt: true, accept: true, addresses: [ \"192.0.2.1\" ], viewers: \"127.0.0.1:9\" } ] }|each partner has an address of its own",
        "messages: true }|messages: true }, vrrp: { listen: \"127.0.0.1:4\", partners: [ \"127.0.0.2:4\" ], paceMs: 400, routers: [ { vrid: 1, priority: 100, advertMs: 100, preempt: true, accept: true, addresses: [ \"192.0.2.1\" ], viewers: \"127.0.0.1:9\" } ] }|vrrp.paceMs: is over three",
        "messages: true }|messages: true }, work: { deskMs: 2000 }|work.deskMs: must be under work.windowMs",
        "seats: 3|seats: 3, seats: 4|f:6: Duplicate",
        "words: \"127.0.0.1:3\" }|}|front.words: needed"
      })
  void rejectsAnInvalidFileWithPathAndLine(String part, String replacement, String expected) {
    InvalidSiteException e =
        assertThrows(
            InvalidSiteException.class,
            () -> SiteFile.parse("f", siteWith(part, replacement == null ? "" : replacement)));
    assertTrue(e.getMessage().contains(expected), e.getMessage());
  }

  @Test
  void namesAFileThatCannotBeRead() {
    assertTrue(
        assertThrows(InvalidSiteException.class, () -> SiteFile.read(Path.of("none.json5")))
            .getMessage()
            .equals("none.json5: no such file"));
    assertThrows(InvalidSiteException.class, () -> SiteFile.parse("f", ""));
    assertThrows(InvalidSiteException.class, () -> SiteFile.parse("f", "[1]"));
    assertThrows(InvalidSiteException.class, () -> SiteFile.parse("f", siteWith("", "") + "{}"));
  }
}
